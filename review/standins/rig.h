/* Stand-ins for the scripts of this review: the platform's store, servers,
   clients, and the start of a gateway as its own process.  All addresses are
   loopback ones.  */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/* Appends a line, with the milliseconds since the start, to record.txt. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
double now_ms (void);
void sleep_ms (int ms);
/* Ends the case with exit code 2: it could not be run. */
void cannot (const char *format, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));

/* The store (PROTOCOL.md, "The platform's metadata store"). */
void store_start (void);
void store_put (const char *key, const char *value);
void store_remove (const char *key);

/* A server.  The handler is called for each request that has been read up to
   the end of its head; it returns false to have the channel closed. */
struct server;
struct server_request
{
  struct server *server;
  int fd;
  int channel;       /* counts the server's channels from 1 */
  int number;        /* counts the requests of the channel from 1 */
  char head[65536];  /* with the empty line */
  char method[16];
  char path[4096];
  char id[256];      /* X-Attempt-Id */
  size_t length;     /* Content-Length */
  char *body;        /* NULL until read_body() */
};
typedef bool (*server_handler) (struct server_request *request);
struct server *server_start (const char *id, const char *service,
                             int receive_buffer, server_handler handler);
const char *server_id (const struct server *server);
/* Reads the body, as much as Content-Length says. */
bool read_body (struct server_request *request);
/* A header's value; NULL if there is none.  Every line counts by itself. */
char *header (const char *head, const char *name, char *out, size_t size);
/* Sends a complete 200 with the given body. */
bool send_ok (struct server_request *request, const char *body);
bool send_all (int fd, const void *data, size_t size);
/* Resets the channel. */
void reset (int fd);

/* The configuration: one host "shop.example" with the routes /safe/
   (idempotent, 2 attempts) and /once/ (non_idempotent, 2 attempts) to the
   service "api", and the key "key-1" of tenant "t1". */
void put_config (int version);

/* Starts `target/cherrylanding gateway` and waits until it is ready. */
struct gateway
{
  pid_t pid;
  int front;
};
void gateway_start (struct gateway *gateway, const char *name);
/* Whether the process still runs. */
bool gateway_runs (const struct gateway *gateway);

/* A client's channel. */
int client_connect (const struct gateway *gateway);
struct answer
{
  int status;       /* 0: none came */
  bool complete;    /* ended as its framing says */
  char head[16384];
  char *body;
  size_t size;
  double ms; /* from the call of read_answer() */
};
void close_channel (int fd);
/* Reads one answer from the channel. */
void read_answer (int fd, struct answer *answer, int timeout_ms);

/* Whether to play the disruption: the variable TROUBLE is not 0. */
bool trouble (void);
/* Ends the gateways and returns the exit code. */
int finish (bool broken, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
