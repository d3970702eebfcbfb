package main

// #include <stdlib.h>
import "C" // The platform links programs against the system's C library.
