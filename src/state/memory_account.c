/**
 * @file memory_account.c
 * Account of what clients make a process hold.
 */
#include "state/memory_account.h"
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */
/* Sixteenths of the process's memory; the rest is for what clients do not
   determine: code, configuration, the fleet's state, logs. */
#define SHARE_PARTS            16
#define ACCOUNT_SHARE_PARTS    9
#define CONNECTION_SHARE_PARTS 4
/* One in this many bytes of the account is kept for ordinary requests. */
#define ORDINARY_PART 8
/* What a customer may hold, as a multiple of what is free. */
#define CUSTOMER_FREE_RATIO 3
/* Little is left when less than one in this many bytes is. */
#define SHORT_PART 4
/* One in this many bytes of the account is worth a trim. */
#define TRIM_PART 8

struct memory_customer
{
  uint64_t id;
  uint64_t bytes;
  uint32_t holders;
  UT_hash_handle hh;
};

static enum memory_decision decide (const struct memory_account *account,
                                    const struct memory_holder *holder,
                                    uint64_t bytes);
static struct memory_holder *find_victim (const struct memory_account *account,
                                          const struct memory_holder *asking,
                                          uint64_t bytes, uint64_t now_ns);
static bool may_be_given_up (const struct memory_holder *holder,
                             const struct memory_holder *asking,
                             uint64_t asked, uint64_t now_ns);
static int join (struct memory_account *account, struct memory_holder *holder,
                 uint64_t customer_id);
static void quit (struct memory_account *account,
                  struct memory_holder *holder);

void
memory_shares (uint64_t process_bytes, struct memory_shares *shares)
{
  shares->account_bytes = process_bytes / SHARE_PARTS * ACCOUNT_SHARE_PARTS;
  shares->connection_bytes
      = process_bytes / SHARE_PARTS * CONNECTION_SHARE_PARTS;
}

void
memory_account_init (struct memory_account *account, uint64_t limit_bytes)
{
  memset (account, 0, sizeof *account);
  account->limit_bytes = limit_bytes;
}

void
memory_account_finish (struct memory_account *account)
{
  struct memory_customer *customer = account->customers;
  struct memory_customer *next;

  HASH_CLEAR (hh, account->customers);
  for (; customer != NULL; customer = next)
    {
      next = customer->hh.next;
      free (customer);
    }
}

enum memory_decision
memory_account_ask (struct memory_account *account,
                    struct memory_holder *holder, uint64_t customer_id,
                    uint64_t bytes, uint64_t now_ns,
                    struct memory_holder **victim)
{
  enum memory_decision decision;

  if (join (account, holder, customer_id) != 0)
    return MEMORY_FULL;
  decision = decide (account, holder, bytes);
  if (decision == MEMORY_GRANTED)
    {
      memory_account_set (account, holder, bytes);
      return decision;
    }
  *victim = find_victim (account, holder, bytes, now_ns);
  return *victim == NULL ? decision : MEMORY_RECLAIM;
}

static enum memory_decision
decide (const struct memory_account *account,
        const struct memory_holder *holder, uint64_t bytes)
{
  const uint64_t limit
      = bytes <= MEMORY_ACCOUNT_ORDINARY_BYTES
            ? account->limit_bytes
            : account->limit_bytes - account->limit_bytes / ORDINARY_PART;
  const uint64_t held = account->held_bytes - holder->bytes;
  const uint64_t held_by_customer = holder->customer->bytes - holder->bytes;

  if (bytes <= holder->bytes)
    return MEMORY_GRANTED;
  if (held >= limit || bytes > limit - held)
    return MEMORY_FULL;
  return held_by_customer > 0
                 && held_by_customer + bytes
                        > (limit - held) * CUSTOMER_FREE_RATIO
             ? MEMORY_CUSTOMER_FULL
             : MEMORY_GRANTED;
}

static struct memory_holder *
find_victim (const struct memory_account *account,
             const struct memory_holder *asking, uint64_t bytes,
             uint64_t now_ns)
{
  const uint64_t asked = asking->customer->bytes - asking->bytes + bytes;
  struct memory_holder *holder = account->arriving;
  struct memory_holder *victim = NULL;
  double most = 0;
  double held;

  for (; holder != NULL; holder = holder->next)
    {
      if (!may_be_given_up (holder, asking, asked, now_ns))
        continue;
      held = (double)holder->bytes * (double)(now_ns - holder->since_ns);
      if (held <= most)
        continue;
      most = held;
      victim = holder;
    }
  return victim;
}

/* @param asked  what the customer that asks would hold. */
static bool
may_be_given_up (const struct memory_holder *holder,
                 const struct memory_holder *asking, uint64_t asked,
                 uint64_t now_ns)
{
  return holder != asking && holder->customer != NULL
         && now_ns - holder->since_ns >= MEMORY_ACCOUNT_ARRIVAL_MS * NS_PER_MS
         && (holder->customer == asking->customer
             || holder->customer->bytes >= asked);
}

/* @return 0 if the holder is the customer's now. */
static int
join (struct memory_account *account, struct memory_holder *holder,
      uint64_t customer_id)
{
  const uint64_t bytes = holder->bytes;
  struct memory_customer *customer;

  if (holder->customer != NULL && holder->customer->id == customer_id)
    return 0;
  HASH_FIND (hh, account->customers, &customer_id, sizeof customer_id,
             customer);
  if (customer == NULL)
    {
      customer = calloc (1, sizeof *customer);
      if (customer == NULL)
        return -1;
      customer->id = customer_id;
      HASH_ADD (hh, account->customers, id, sizeof customer->id, customer);
    }
  customer->holders++;
  customer->bytes += bytes;
  quit (account, holder);
  holder->customer = customer;
  return 0;
}

static void
quit (struct memory_account *account, struct memory_holder *holder)
{
  struct memory_customer *customer = holder->customer;

  holder->customer = NULL;
  if (customer == NULL)
    return;
  customer->bytes -= holder->bytes;
  if (--customer->holders > 0)
    return;
  HASH_DEL (account->customers, customer);
  free (customer);
}

void
memory_account_set (struct memory_account *account,
                    struct memory_holder *holder, uint64_t bytes)
{
  if (bytes == holder->bytes
      || (holder->customer == NULL
          && join (account, holder, MEMORY_ACCOUNT_UNKNOWN) != 0))
    return;
  account->held_bytes += bytes - holder->bytes;
  if (account->held_bytes > account->peak_bytes)
    account->peak_bytes = account->held_bytes;
  holder->customer->bytes += bytes - holder->bytes;
  holder->bytes = bytes;
}

struct memory_holder *
memory_account_oldest (const struct memory_account *account, uint64_t now_ns)
{
  struct memory_holder *oldest = account->arriving;

  return oldest != NULL
                 && now_ns - oldest->since_ns
                        >= MEMORY_ACCOUNT_ARRIVAL_MS * NS_PER_MS
             ? oldest
             : NULL;
}

uint32_t
memory_account_customer_holders (const struct memory_holder *holder)
{
  return holder->customer == NULL ? 0 : holder->customer->holders;
}

void
memory_account_begin (struct memory_account *account,
                      struct memory_holder *holder, uint64_t now_ns)
{
  memory_account_arrived (account, holder);
  DL_APPEND (account->arriving, holder);
  holder->arriving = true;
  holder->since_ns = now_ns;
}

void
memory_account_arrived (struct memory_account *account,
                        struct memory_holder *holder)
{
  if (holder->arriving)
    DL_DELETE (account->arriving, holder);
  holder->arriving = false;
}

void
memory_account_leave (struct memory_account *account,
                      struct memory_holder *holder)
{
  memory_account_arrived (account, holder);
  memory_account_set (account, holder, 0);
  quit (account, holder);
}

bool
memory_account_short (const struct memory_account *account)
{
  return account->held_bytes
         > account->limit_bytes - account->limit_bytes / SHORT_PART;
}

bool
memory_account_trims (struct memory_account *account)
{
  if (account->peak_bytes - account->held_bytes
      < account->limit_bytes / TRIM_PART)
    return false;
  account->peak_bytes = account->held_bytes;
  return true;
}
