package main

// #include <stdlib.h>
import "C" // Enables cgo, because the platform links programs against the system's C library.
