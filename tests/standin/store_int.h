/**
 * @file store_int.h
 * Private parts of the stand-in store: a table of keys with a modify index,
 * and sessions that hold keys.
 */
#ifndef TESTS_STANDIN_STORE_INT_H
#define TESTS_STANDIN_STORE_INT_H

#include "standin/standin.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define STORE_KEY_SIZE     256 /**< bytes, with the NUL */
#define STORE_SESSION_SIZE 40  /**< bytes, with the NUL */
#define STORE_VALUE_MAX    1048576

/** A key; one that was deleted stays, so that watches see its deletion. */
struct store_item
{
  char key[STORE_KEY_SIZE];
  char *value;
  size_t size;
  uint64_t index; /**< of its last change */
  bool deleted;
  char session[STORE_SESSION_SIZE]; /**< holder; empty: none */
  UT_hash_handle hh;
};

struct store_session
{
  char id[STORE_SESSION_SIZE];
  uint64_t ttl_ms;
  uint64_t end_ns;
  UT_hash_handle hh;
};

struct store_table
{
  struct store_item *items;
  uint64_t index; /**< of the last change */
};

/** One call; a watch stays until a change or its time. */
struct store_call
{
  struct exchange exchange;
  struct server *server;
  struct event *timer;
  char key[STORE_KEY_SIZE];
  bool recurse;
  bool watching;
  uint64_t since; /**< index that a watch waits to see exceeded */
  struct store_call *prev;
  struct store_call *next;
};

struct store
{
  struct store_table table;
  struct store_table snapshot;
  struct store_session *sessions;
  struct store_call *watches;
  struct event *session_timer;
  uint64_t next_session;
  uint64_t reads;
  uint64_t writes;
  uint64_t watch_calls;
};

struct store_item *store_table_find (struct store_table *table,
                                     const char *key);
/** Sets or deletes (value NULL) a key and advances the index. */
void store_table_write (struct store_table *table, const char *key,
                        const void *value, size_t size);
void store_table_clear (struct store_table *table);
void store_table_copy (struct store_table *to, const struct store_table *from);
/** Greatest index of a key, or of all keys under it. */
uint64_t store_table_index (const struct store_table *table, const char *key,
                            bool recurse);
/** @return a new array of the live items. */
json_t *store_table_list (const struct store_table *table, const char *key,
                          bool recurse);

/** Adds a session. */
struct store_session *store_session_add (struct store *store, uint64_t ttl_ms);
/** @return 0, or -1 when the session is not there. */
int store_session_renew (struct store *store, const char *id);
/** Ends a session and lets go of its keys. */
void store_session_end (struct store *store, const char *id);
/** Ends the sessions whose time is over. @return number of them. */
uint32_t store_session_expire (struct store *store);
/** Takes a key for a session. @return false when another holds it. */
bool store_session_acquire (struct store *store, const char *key,
                            const char *id, const void *value, size_t size);
bool store_session_release (struct store *store, const char *key,
                            const char *id);

#endif
