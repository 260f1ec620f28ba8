/**
 * @file heap.h
 * The allocator's memory, which counts as the process's until it is returned
 * to the system.
 */
#ifndef TRANSPORT_HEAP_H
#define TRANSPORT_HEAP_H

/** Lets the memory of large bodies be returned as soon as it is freed.  The
    allocator by itself raises its threshold for that with their size. */
void heap_init (void);
/** Returns free memory to the system. */
void heap_trim (void);

#endif
