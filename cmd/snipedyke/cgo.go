package main

// #include <stdlib.h>
import "C" // Enables cgo, because programs on the platform are linked against the system's C library.
