/**
 * @file kvhttp_int.h
 * Internal interface between the calls (kvhttp_call.c) and the operations
 * (kvhttp.c) of the HTTP key-value store.
 */
#ifndef TRANSPORT_KVHTTP_INT_H
#define TRANSPORT_KVHTTP_INT_H

#include "transport/httpcall.h"
#include "transport/kvhttp.h"

#define KVHTTP_PATH_SIZE    1024 /* bytes of a path with its query */
#define KVHTTP_KEY_SIZE     256  /* bytes of a key */
#define KVHTTP_SESSION_SIZE 64   /* bytes of a session ID */

struct kvhttp;

/** One HTTP request of an operation. */
struct kvhttp_call
{
  struct httpcall base; /* must be first */
  struct kvhttp *store;
  /** Called once. `error` is 0 for any complete response, ERR_UNAVAILABLE
      when nothing was sent, ERR_TIMEOUT or ERR_RESET. */
  void (*finished) (struct kvhttp_call *call, int error, int status,
                    uint64_t index, const char *body, size_t size);
  kvstore_items_fn items_done;
  kvstore_write_fn write_done;
  void *user;
  char key[KVHTTP_KEY_SIZE];         /**< of the lock to acquire */
  char session[KVHTTP_SESSION_SIZE]; /**< that acquires the lock */
  bool index_unreadable; /**< of the response, which then has index 0 */
};

/** A lock held by this process, and its session. */
struct kvhttp_lock
{
  struct kvhttp_lock *next;
  char key[KVHTTP_KEY_SIZE];
  char session[KVHTTP_SESSION_SIZE];
};

struct kvhttp
{
  struct kvstore kvstore; /* must be first: operations cast it */
  struct kvhttp_config config;
  struct httpcall_server server;
  struct kvhttp_lock *locks;
  uint64_t micro_tokens; /**< of the token bucket; 1,000,000 a call */
  uint64_t refilled_ns;  /**< time of the last refill */
};

/** Takes a call from the token bucket of the rate limit.
    @return 0 or ERR_RATE_LIMITED. */
int kvhttp_take_token (struct kvhttp *store);

/** Counts and logs a response with a field that cannot be read. */
void kvhttp_report_unreadable (struct kvhttp *store, const char *field,
                               const char *value);

/** @return a new call, or NULL if out of memory. */
struct kvhttp_call *kvhttp_call_new (struct kvhttp *store);
/** Starts a call made by kvhttp_call_new; frees it on an error. */
int kvhttp_call_start (struct kvhttp_call *call, enum evhttp_cmd_type method,
                       const char *path, const char *body, size_t size,
                       uint32_t timeout_ms);

#endif
