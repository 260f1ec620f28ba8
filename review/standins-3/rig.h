/**
 * @file rig.h
 * Stand-ins of the third review in one process: the platform's store, workers
 * and clients, each connection with a thread of its own.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#define RIG_TEXT 512

/* Time and record. */

/** Seconds since the start of the rig, by the steady clock. */
double rig_now (void);
void rig_sleep (double seconds);
/** Opens record.txt; all that is sent, answered and run goes there. */
void rig_record_open (const char *path);
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/** Prints the message and ends the rig with 2: the case could not run. */
void rig_give_up (const char *format, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));

/* Sockets. */

/** A listening socket on a free port of 127.0.0.1. */
int rig_listen (int *port);
/** A port of 127.0.0.1 that was free a moment ago, and that the kernel gives
   to no connection. */
int rig_free_port (void);
int rig_connect (int port);
/** Closes with a reset. */
void rig_reset (int fd);
bool rig_write (int fd, const void *data, size_t size);

/** Reads HTTP messages from a socket. */
struct rig_reader
{
  int fd;
  char *data;
  size_t size;
  size_t capacity;
};

/** One message; `head` ends with an empty line. */
struct rig_message
{
  char *head;
  char *body;
  size_t body_size;
};

/** Waits for a message with a length, in chunks or, with `until_close`, up to
    the end of the connection. @return false if none came whole. */
bool rig_read (struct rig_reader *reader, struct rig_message *message,
               bool until_close);
void rig_message_free (struct rig_message *message);
void rig_reader_free (struct rig_reader *reader);
/** Value of a header; "" without one. */
const char *rig_header (const struct rig_message *message, const char *name,
                        char text[RIG_TEXT]);
int rig_status (const struct rig_message *message);
/** Method and path of a request. */
void rig_request_line (const struct rig_message *message, char method[16],
                       char path[RIG_TEXT]);

/* The platform's store. */

enum rig_store_mode
{
  RIG_STORE_SERVES,
  RIG_STORE_RESETS /**< resets the channels of all machines */
};

/** How the store treats the machines that have one of its addresses. */
struct rig_store_side
{
  enum rig_store_mode mode;
  unsigned long changes; /**< private */
};

/** Opens an address of the store; the first call sets the time for which it
    keeps its history. @return the port. */
int rig_store_start (double history_s, struct rig_store_side *side);
/** The revision before the first change. */
void rig_store_set_revision (unsigned long long revision);
/** The operator or a worker writes; returns when that is acknowledged. */
void rig_store_put (const char *key, const void *value, size_t size);
void rig_store_delete (const char *key);
/** Also cuts the watches that wait. */
void rig_store_set_mode (struct rig_store_side *side,
                         enum rig_store_mode mode);

/* Workers. */

/** Called for each request that a worker runs; writes the answer. `ran` has
    been recorded. @return whether the channel is kept. */
typedef bool (*rig_run_fn) (int fd, const char *worker,
                            const struct rig_message *request);

/** Starts a worker. @param run  NULL: 200 with the worker's name. @return its
    port. */
int rig_worker_start (const char *id, rig_run_fn run);
void rig_worker_register (const char *id, const char *service, int port,
                          const char *state);
/** A plain answer with a signature. */
bool rig_answer (int fd, const char *worker, const struct rig_message *request,
                 int status, const char *body);

/** What workers ran. */
struct rig_run
{
  char id[64];
  char worker[32];
  double time_s;
};

size_t rig_run_count (void);
struct rig_run rig_run_get (size_t index);
/** Number of runs of an attempt, and the worker of the last one. */
size_t rig_runs_of (const char *id, char worker[32]);

/* Gateways. */

/** Writes the settings file of a gateway with three free ports. */
void rig_gateway_settings (const char *path, const char *name,
                           const char *zone, int store_port, int *front,
                           int *ready);
/** Waits until the gateway is ready; gives up after 15 s. */
void rig_gateway_wait (int ready_port);
bool rig_gateway_ready (int ready_port);

/* Clients. */

/** Sends one request on a new channel and waits for the answer.
    @return the status; 0 without an answer. */
int rig_request (int front_port, const char *method, const char *path,
                 const char *id, const char *key, int deadline_ms);

/* Configurations. */

/** Appends to a growing text. */
struct rig_text
{
  char *data;
  size_t size;
  size_t capacity;
};

void rig_text_add (struct rig_text *text, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void rig_text_free (struct rig_text *text);
/** A route on shop.example. */
void rig_route (struct rig_text *text, bool first, const char *name,
                const char *kind, const char *service, int attempts,
                bool resumable);

#endif
