/**
 * @file peernet_dial.c
 * Addresses to dial, and when to dial them.
 */
#include "state/err.h"
#include "transport/peernet_int.h"
#include "transport/sock.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool needs_connection (struct peernet *net,
                              const struct peernet_target *target);
static bool has_seed_for_peer (const struct peernet *net,
                               const struct peernet_target *target);
static bool has_connection (const struct peernet *net,
                            const struct peernet_target *target);
static void dial (struct peernet *net, struct peernet_target *target);
static uint64_t jitter_ns (struct peernet *net, uint32_t backoff_ms);

int
peernet_add_address (struct peernet *net, const char *address, bool seed)
{
  struct peernet_target *target = NULL;
  struct sock_address parsed;
  char text[CATALOG_ADDRESS_SIZE];

  if (sock_parse (address, &parsed) != 0
      || sock_format (&parsed, text, sizeof text) != 0)
    return ERR_INVALID;
  HASH_FIND_STR (net->targets, text, target);
  if (target == NULL)
    {
      if (HASH_COUNT (net->targets) >= PEERNET_TARGETS_MAX)
        return ERR_FULL;
      target = calloc (1, sizeof *target);
      if (target == NULL)
        return ERR_NO_MEMORY;
      memcpy (target->address, text, sizeof target->address);
      target->backoff_ms = PEERNET_BACKOFF_MIN_MS;
      target->self = strcmp (text, net->config.self.address) == 0;
      HASH_ADD_STR (net->targets, address, target);
    }
  target->seed = target->seed || seed;
  target->refreshed_ns = clock_now_ns (net->config.clock);
  return 0;
}

void
peernet_remove_address (struct peernet *net, const char *address)
{
  struct peernet_target *target = NULL;
  struct peernet_conn *conn;

  HASH_FIND_STR (net->targets, address, target);
  if (target == NULL)
    return;
  for (conn = net->conns; conn != NULL; conn = conn->next)
    if (conn->target == target)
      break;
  if (conn != NULL)
    peernet_conn_close (net, conn);
  HASH_DEL (net->targets, target);
  free (target);
}

void
peernet_add_learned (struct peernet *net, const char *address)
{
  struct peernet_target *target = NULL;

  HASH_FIND_STR (net->targets, address, target);
  if (target != NULL || peernet_add_address (net, address, false) != 0)
    return;
  HASH_FIND_STR (net->targets, address, target);
  if (target != NULL)
    target->next_dial_ns = clock_now_ns (net->config.clock)
                           + PEERNET_LEARNED_DELAY_MS * CLOCK_NS_PER_MS;
}

void
peernet_dial_due (struct peernet *net)
{
  const uint64_t now_ns = clock_now_ns (net->config.clock);
  struct peernet_target *target;
  struct peernet_target *next;

  for (target = net->targets; target != NULL; target = next)
    {
      next = target->hh.next;
      if (!needs_connection (net, target))
        target->refreshed_ns = now_ns;
      else if (!target->seed
               && now_ns - target->refreshed_ns
                      > PEERNET_ADDRESS_TTL_MS * CLOCK_NS_PER_MS)
        {
          HASH_DEL (net->targets, target);
          free (target);
        }
      else if (now_ns >= target->next_dial_ns)
        dial (net, target);
    }
}

void
peernet_target_failed (struct peernet *net, struct peernet_target *target)
{
  target->next_dial_ns
      = clock_now_ns (net->config.clock) + jitter_ns (net, target->backoff_ms);
  target->backoff_ms *= 2;
  if (target->backoff_ms > PEERNET_BACKOFF_MAX_MS)
    target->backoff_ms = PEERNET_BACKOFF_MAX_MS;
}

void
peernet_target_connected (struct peernet_target *target,
                          const struct message_hello *hello)
{
  target->peer_id = catalog_id (hello->instance);
  target->peer_incarnation = hello->incarnation;
  target->backoff_ms = PEERNET_BACKOFF_MIN_MS;
}

/** True if a target has no connection and should have one. */
static bool
needs_connection (struct peernet *net, const struct peernet_target *target)
{
  struct peernet_conn *conn = NULL;

  if (target->self || has_connection (net, target))
    return false;
  if (target->peer_id != 0)
    HASH_FIND (hh, net->peers, &target->peer_id, sizeof target->peer_id, conn);
  return conn == NULL && !has_seed_for_peer (net, target);
}

/** True if a seed leads to the same process: the operator's address takes
    precedence over the one that the peer sends. */
static bool
has_seed_for_peer (const struct peernet *net,
                   const struct peernet_target *target)
{
  const struct peernet_target *other;

  if (target->seed || target->peer_id == 0)
    return false;
  for (other = net->targets; other != NULL; other = other->hh.next)
    if (other->seed && other->peer_id == target->peer_id
        && other->peer_incarnation == target->peer_incarnation)
      return true;
  return false;
}

static bool
has_connection (const struct peernet *net, const struct peernet_target *target)
{
  const struct peernet_conn *conn;

  for (conn = net->conns; conn != NULL; conn = conn->next)
    if (conn->target == target)
      return true;
  return false;
}

static void
dial (struct peernet *net, struct peernet_target *target)
{
  struct sock_address address;
  int fd = -1;
  int rc = sock_parse (target->address, &address);

  if (rc == 0)
    rc = sock_connect (&address, &fd);
  if (rc != 0 || peernet_conn_new (net, fd, target) == NULL)
    peernet_target_failed (net, target);
}

/** @return a random delay between 0.5 and 1.5 times the backoff. */
static uint64_t
jitter_ns (struct peernet *net, uint32_t backoff_ms)
{
  const uint64_t backoff_ns = backoff_ms * CLOCK_NS_PER_MS;

  net->jitter_state ^= net->jitter_state << 13;
  net->jitter_state ^= net->jitter_state >> 7;
  net->jitter_state ^= net->jitter_state << 17;
  return backoff_ns / 2 + net->jitter_state % backoff_ns;
}
