/**
 * @file kvhttp_int.h
 * Shared by the calls (kvhttp_call.c) and the operations (kvhttp.c) of the
 * store over HTTP.
 */
#ifndef TRANSPORT_KVHTTP_INT_H
#define TRANSPORT_KVHTTP_INT_H

#include "transport/httpcall.h"
#include "transport/kvhttp.h"

#define KVHTTP_PATH_SIZE    1024 /* bytes of a path with its query */
#define KVHTTP_KEY_SIZE     256  /* bytes of a key */
#define KVHTTP_SESSION_SIZE 64   /* bytes of a session's id */

struct kvhttp;

/** One call of the store. */
struct kvhttp_call
{
  struct httpcall base; /* first */
  struct kvhttp *store;
  /** Called once. `error` is 0 for any whole response, ERR_UNAVAILABLE when
      nothing was sent, ERR_TIMEOUT or ERR_RESET. */
  void (*finished) (struct kvhttp_call *call, int error, int status,
                    uint64_t index, const char *body, size_t size);
  platform_items_fn items_done;
  platform_write_fn write_done;
  void *user;
  char key[KVHTTP_KEY_SIZE];        /**< of leases */
  char holder[KVHTTP_SESSION_SIZE]; /**< session of a lease */
};

/** A lease held: its session. */
struct kvhttp_lease
{
  struct kvhttp_lease *next;
  char key[KVHTTP_KEY_SIZE];
  char session[KVHTTP_SESSION_SIZE];
};

struct kvhttp
{
  struct platform platform; /* first: the table's functions get this */
  struct kvhttp_config config;
  struct httpcall_server server;
  struct kvhttp_lease *leases;
  uint64_t tokens_us; /**< of the rate limit: calls x microseconds */
  uint64_t filled_ns; /**< when tokens were last added */
};

/** Takes a call from the rate limit. @return 0 or ERR_RATE_LIMITED. */
int kvhttp_admit (struct kvhttp *store);

/** Starts a call made by kvhttp_call_new; releases it on an error. */
struct kvhttp_call *kvhttp_call_new (struct kvhttp *store);
int kvhttp_call_start (struct kvhttp_call *call, enum evhttp_cmd_type method,
                       const char *path, const char *body, size_t size,
                       uint32_t timeout_ms);

#endif
