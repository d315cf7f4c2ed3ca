#ifndef BASE_VERSION_H
#define BASE_VERSION_H

/* The version that every program prints with --version. */
#define HC_VERSION "0.1.0"

#endif
