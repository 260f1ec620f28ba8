/**
 * @file peernet_dial.c
 * Addresses to dial, and when.
 */
#include "state/err.h"
#include "transport/peernet_int.h"
#include "transport/sock.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool wanted (struct peernet *net, const struct peernet_target *target);
static bool has_seed (const struct peernet *net,
                      const struct peernet_target *target);
static bool dialing (const struct peernet *net,
                     const struct peernet_target *target);
static void dial (struct peernet *net, struct peernet_target *target);
static uint64_t jitter_ns (struct peernet *net, uint32_t backoff_ms);

int
peernet_offer (struct peernet *net, const char *address, bool seed)
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
  target->offered_ns = clock_now_ns (net->config.clock);
  return 0;
}

void
peernet_withdraw (struct peernet *net, const char *address)
{
  struct peernet_target *target = NULL;
  struct peernet_slot *slot;

  HASH_FIND_STR (net->targets, address, target);
  if (target == NULL)
    return;
  for (slot = net->slots; slot != NULL; slot = slot->next)
    if (slot->target == target)
      break;
  if (slot != NULL)
    peernet_slot_end (net, slot);
  HASH_DEL (net->targets, target);
  free (target);
}

void
peernet_hint (struct peernet *net, const char *address)
{
  struct peernet_target *target = NULL;

  HASH_FIND_STR (net->targets, address, target);
  if (target != NULL || peernet_offer (net, address, false) != 0)
    return;
  HASH_FIND_STR (net->targets, address, target);
  if (target != NULL)
    target->dial_ns = clock_now_ns (net->config.clock)
                      + PEERNET_HINT_WAIT_MS * CLOCK_NS_PER_MS;
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
      if (!wanted (net, target))
        target->offered_ns = now_ns;
      else if (!target->seed
               && now_ns - target->offered_ns
                      > PEERNET_FORGET_MS * CLOCK_NS_PER_MS)
        {
          HASH_DEL (net->targets, target);
          free (target);
        }
      else if (now_ns >= target->dial_ns)
        dial (net, target);
    }
}

void
peernet_target_failed (struct peernet *net, struct peernet_target *target)
{
  target->dial_ns
      = clock_now_ns (net->config.clock) + jitter_ns (net, target->backoff_ms);
  target->backoff_ms *= 2;
  if (target->backoff_ms > PEERNET_BACKOFF_MAX_MS)
    target->backoff_ms = PEERNET_BACKOFF_MAX_MS;
}

void
peernet_target_up (struct peernet_target *target,
                   const struct message_hello *hello)
{
  target->peer_id = catalog_id (hello->instance);
  target->peer_incarnation = hello->incarnation;
  target->backoff_ms = PEERNET_BACKOFF_MIN_MS;
}

/** Whether a target has no connection and should have one. */
static bool
wanted (struct peernet *net, const struct peernet_target *target)
{
  struct peernet_slot *slot = NULL;

  if (target->self || dialing (net, target))
    return false;
  if (target->peer_id != 0)
    HASH_FIND (hh, net->peers, &target->peer_id, sizeof target->peer_id, slot);
  return slot == NULL && !has_seed (net, target);
}

/** Whether a seed leads to the same process: the operator's address goes
    before the one that the peer itself tells. */
static bool
has_seed (const struct peernet *net, const struct peernet_target *target)
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
dialing (const struct peernet *net, const struct peernet_target *target)
{
  const struct peernet_slot *slot;

  for (slot = net->slots; slot != NULL; slot = slot->next)
    if (slot->target == target)
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
  if (rc != 0 || peernet_slot_new (net, fd, target) == NULL)
    peernet_target_failed (net, target);
}

/** Between half of the backoff and one and a half. */
static uint64_t
jitter_ns (struct peernet *net, uint32_t backoff_ms)
{
  const uint64_t backoff_ns = backoff_ms * CLOCK_NS_PER_MS;

  net->random ^= net->random << 13;
  net->random ^= net->random >> 7;
  net->random ^= net->random << 17;
  return backoff_ns / 2 + net->random % backoff_ns;
}
