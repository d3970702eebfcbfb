package encoder

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Message is a message between nodes. Only types of this package implement it.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
	kind() byte
}

func (*Heartbeat) kind() byte    { return 1 }
func (*Ask) kind() byte          { return 2 }
func (*Grant) kind() byte        { return 3 }
func (*Refuse) kind() byte       { return 4 }
func (*Withdraw) kind() byte     { return 5 }
func (*Done) kind() byte         { return 6 }
func (*Progress) kind() byte     { return 7 }
func (*Claim) kind() byte        { return 8 }
func (*ClaimReply) kind() byte   { return 9 }
func (*Release) kind() byte      { return 10 }
func (*Finish) kind() byte       { return 11 }
func (*Query) kind() byte        { return 12 }
func (*QueryReply) kind() byte   { return 13 }
func (*Pull) kind() byte         { return 14 }
func (*Push) kind() byte         { return 15 }
func (*Mark) kind() byte         { return 16 }
func (*Spend) kind() byte        { return 17 }
func (*Budget) kind() byte       { return 18 }
func (*Order) kind() byte        { return 19 }
func (*Fetch) kind() byte        { return 20 }
func (*Documents) kind() byte    { return 21 }
func (*Forward) kind() byte      { return 22 }
func (*ForwardReply) kind() byte { return 23 }
func (*PoolLoad) kind() byte     { return 24 }
func (*Hello) kind() byte        { return 25 }
func (*Report) kind() byte       { return 26 }
func (*Digest) kind() byte       { return 27 }
func (*Update) kind() byte       { return 28 }
func (*Crashes) kind() byte      { return 29 }
func (*ViewReport) kind() byte   { return 30 }
func (*ViewDigest) kind() byte   { return 31 }
func (*Origins) kind() byte      { return 32 }
func (*OriginQuery) kind() byte  { return 33 }
func (*Contact) kind() byte      { return 34 }
func (*Observations) kind() byte { return 35 }
func (*Demands) kind() byte      { return 36 }
func (*NodeQuery) kind() byte    { return 37 }
func (*NodeList) kind() byte     { return 38 }

// newMessage returns a new zero message of the given kind, or nil if the kind is
// unknown.
func newMessage(kind byte) Message {
	switch kind {
	case 1:
		return new(Heartbeat)
	case 2:
		return new(Ask)
	case 3:
		return new(Grant)
	case 4:
		return new(Refuse)
	case 5:
		return new(Withdraw)
	case 6:
		return new(Done)
	case 7:
		return new(Progress)
	case 8:
		return new(Claim)
	case 9:
		return new(ClaimReply)
	case 10:
		return new(Release)
	case 11:
		return new(Finish)
	case 12:
		return new(Query)
	case 13:
		return new(QueryReply)
	case 14:
		return new(Pull)
	case 15:
		return new(Push)
	case 16:
		return new(Mark)
	case 17:
		return new(Spend)
	case 18:
		return new(Budget)
	case 19:
		return new(Order)
	case 20:
		return new(Fetch)
	case 21:
		return new(Documents)
	case 22:
		return new(Forward)
	case 23:
		return new(ForwardReply)
	case 24:
		return new(PoolLoad)
	case 25:
		return new(Hello)
	case 26:
		return new(Report)
	case 27:
		return new(Digest)
	case 28:
		return new(Update)
	case 29:
		return new(Crashes)
	case 30:
		return new(ViewReport)
	case 31:
		return new(ViewDigest)
	case 32:
		return new(Origins)
	case 33:
		return new(OriginQuery)
	case 34:
		return new(Contact)
	case 35:
		return new(Observations)
	case 36:
		return new(Demands)
	case 37:
		return new(NodeQuery)
	case 38:
		return new(NodeList)
	default:
		return nil
	}
}

// Append appends the kind byte and the encoding of m to buf.
func Append(buf []byte, m Message) ([]byte, error) {
	out, err := m.MarshalMsg(append(buf, m.kind()))
	if err != nil {
		return buf, &Error{Op: "append", Kind: KindEncode, Err: err}
	}

	return out, nil
}

// Decode decodes a message encoded by Append. The result does not alias buf.
// Trailing bytes are an error.
func Decode(buf []byte) (Message, error) {
	if len(buf) == 0 {
		return nil, &Error{Op: "decode", Kind: KindTruncated}
	}
	m := newMessage(buf[0])
	if m == nil {
		return nil, &Error{Op: "decode", Kind: KindUnknown, Err: fmt.Errorf("message kind %d", buf[0])}
	}
	rest, err := m.UnmarshalMsg(buf[1:])
	if err != nil {
		return nil, &Error{Op: "decode", Kind: KindMalformed, Err: err}
	}
	if len(rest) > 0 {
		return nil, &Error{Op: "decode", Kind: KindMalformed, Err: fmt.Errorf("%d trailing bytes", len(rest))}
	}

	if b, ok := m.(bounded); ok {
		if err := b.checkBounds(); err != nil {
			return nil, &Error{Op: "decode", Kind: KindMalformed, Err: err}
		}
	}

	return m, nil
}
