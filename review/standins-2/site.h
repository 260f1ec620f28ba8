/**
 * @file site.h
 * A small site for the cases of the second review: the platform's store,
 * workers, gateways as processes, and clients, all on 127.0.0.1.  Threads with
 * blocking sockets; what the pages leave open is done in the simplest sound
 * way.
 */
#ifndef SITE_H
#define SITE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HELD    0 /**< exit codes: the rule held, was broken, */
#define BROKEN  1
#define NOT_RUN 2 /**< or the case could not run */

#define HEADERS_MAX  64
#define GATEWAYS_MAX 24
#define WORKERS_MAX  24

/** A message read from a socket. */
struct message
{
  char head[32768]; /**< text of the head; lines end with a NUL */
  char *first;      /**< request or status line */
  char *names[HEADERS_MAX];
  char *values[HEADERS_MAX];
  int count;
  char *body; /**< freed by message_free() */
  size_t size;
  bool whole; /**< the body has come as a whole */
};

/** Buffered reading from a socket. */
struct input
{
  int fd;
  size_t from;
  size_t to;
  char bytes[65536];
};

struct worker;
typedef bool (*serve_fn) (struct worker *worker, int fd,
                          const struct message *request, const char *id);

struct worker
{
  const char *service;
  serve_fn serve; /**< @return whether the connection is kept */
  char id[32];
  char version[16];
  char state[16];
  int port;
  int slots;
  int sequence;
  bool beats;
};

/** The way of a gateway to the store. */
struct path
{
  int port;
  _Atomic bool silent; /**< passes nothing on, in either direction */
  _Atomic int calls;   /**< connections */
};

/** Bounds of the settings, in ms. */
struct bounds
{
  int contact;
  int ack;
  int drain;
  int config_apply;
  int outer;
};

struct gateway
{
  char name[32];
  struct path path;
  char zone[8];
  int front;
  int ready;
  int peer;
  pid_t pid;
  bool running;
};

/** TROUBLE=0 in the environment: no disruption. */
extern bool trouble;
extern char work[256]; /**< temporary folder */
extern struct bounds bounds;

void site_start (const char *record_path);
double now_s (void);
/** Writes a line with the time to the record, and to standard output. */
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/** Ends all processes and exits. */
void finish (int code) __attribute__ ((noreturn));

/* The store. */
int store_port (void);
/** Sets a key as the operator or a worker would.  @return the revision. */
long store_put (const char *key, const char *value);
void store_delete (const char *key);

/* Workers. */
struct worker *worker_start (const char *service, int slots, serve_fn serve);
void worker_answer (int fd, const char *status, const char *id,
                    const char *more, const char *body);

/* Gateways. */
struct gateway *gateway_start (const char *name, const char *zone,
                               int memory_mb);
bool gateway_ready (const struct gateway *gateway);
void gateways_wait_ready (void);
long gateway_rss_kb (const struct gateway *gateway);
void gateway_kill (struct gateway *gateway, int signal);

/* Sockets. */
int dial (int port);
int listen_on (int *port);
bool send_all (int fd, const void *bytes, size_t size);
bool read_message (struct input *input, struct message *message,
                   bool response);
const char *header (const struct message *message, const char *name);
void message_free (struct message *message);
void thread (void *(*run) (void *), void *arg);
void sleep_ms (int ms);

#endif
