/**
 * @file turns.c
 * Turns of limited upstreams.
 */
#include "state/turns.h"
#include "state/rate_limit.h"
#include <stdlib.h>

#define NS_PER_MS 1000000ULL    /* nanoseconds */
#define NS_PER_S  1000000000ULL /* nanoseconds */
/* How far ahead turns are given: several round trips, so that one instance can
   use all turns of a high limit.  While preferred requests ask, they take each
   turn before it is given to others. */
#define AHEAD_MS           100
#define AHEAD_PREFERRED_MS 300
/* Pause before the first turn of a new account, in which the turns given by
   the instance that had it before are used or lapse. */
#define TAKEOVER_MS (AHEAD_PREFERRED_MS + RATE_LIMIT_TURN_VALID_MS)
/* Returned turns expire after this time.  More of them at once would be a
   burst. */
#define RETURNED_VALID_MS 1000
#define RETURNED_MAX      2
/* After this time a new account would give the same turns. */
#define IDLE_MS 10000

static struct turns_account *
find_account (struct turns *turns, uint64_t upstream_id, uint64_t now_ns);

void
turns_finish (struct turns *turns)
{
  struct turns_account *account = turns->accounts;
  struct turns_account *next;

  HASH_CLEAR (hh, turns->accounts);
  for (; account != NULL; account = next)
    {
      next = account->hh.next;
      free (account);
    }
}

static struct turns_account *
find_account (struct turns *turns, uint64_t upstream_id, uint64_t now_ns)
{
  struct turns_account *account;

  HASH_FIND (hh, turns->accounts, &upstream_id, sizeof upstream_id, account);
  if (account != NULL)
    return account;
  account = calloc (1, sizeof *account);
  if (account == NULL)
    return NULL;
  account->upstream_id = upstream_id;
  account->next_ns = now_ns + TAKEOVER_MS * NS_PER_MS;
  HASH_ADD (hh, turns->accounts, upstream_id, sizeof upstream_id, account);
  return account;
}

bool
turns_take (struct turns *turns, uint64_t upstream_id, uint32_t permille,
            bool preferred, uint64_t now_ns, uint64_t *delay_ns)
{
  const uint64_t ahead_ns
      = (preferred ? AHEAD_PREFERRED_MS : AHEAD_MS) * NS_PER_MS;
  const uint64_t interval_ns = NS_PER_S * 1000 / permille;
  struct turns_account *account = find_account (turns, upstream_id, now_ns);
  uint64_t turn_ns;

  if (account == NULL)
    {
      *delay_ns = NS_PER_S;
      return false;
    }
  account->asked_ns = now_ns;
  /* The limit has risen. */
  if (account->next_ns > now_ns + interval_ns + TAKEOVER_MS * NS_PER_MS)
    account->next_ns = now_ns + interval_ns;
  if (account->returned > 0)
    {
      account->returned--;
      *delay_ns = 0;
      if (now_ns - account->returned_ns < RETURNED_VALID_MS * NS_PER_MS)
        return true;
      account->returned = 0;
    }
  turn_ns = account->next_ns > now_ns ? account->next_ns : now_ns;
  *delay_ns = turn_ns - now_ns;
  if (*delay_ns > ahead_ns)
    {
      *delay_ns -= ahead_ns;
      return false;
    }
  account->next_ns = turn_ns + interval_ns;
  return true;
}

void
turns_return (struct turns *turns, uint64_t upstream_id, uint64_t now_ns)
{
  struct turns_account *account;

  HASH_FIND (hh, turns->accounts, &upstream_id, sizeof upstream_id, account);
  if (account == NULL)
    return;
  if (account->returned < RETURNED_MAX)
    account->returned++;
  account->returned_ns = now_ns;
}

void
turns_expire (struct turns *turns, uint64_t now_ns)
{
  struct turns_account *account;
  struct turns_account *next;

  for (account = turns->accounts; account != NULL; account = next)
    {
      next = account->hh.next;
      if (now_ns - account->asked_ns < IDLE_MS * NS_PER_MS)
        continue;
      /* False positive: the analyzer assumes that the list head is the entry
         freed before. */
      /* NOLINTBEGIN(clang-analyzer-*) */
      HASH_DEL (turns->accounts, account);
      /* NOLINTEND(clang-analyzer-*) */
      free (account);
    }
}
