/**
 * @file ledger.c
 * Service accounts.  An account keeps one small record for each remote origin
 * that ever charged it, and its own counters inline; the sum is kept up to
 * date, so a position costs one lookup.
 */
#include "state/ledger.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define RECORDS_MIN 2 /* records of an account at first */
#define ORIGINS_MIN 16
#define SPREAD_NONE 1000 /* permille: all requests are here */

struct ledger_key
{
  uint64_t customer_id;
  uint64_t service_id;
};

struct ledger_counters
{
  uint64_t charged;
  uint64_t refunded;
  uint64_t cost;
};

struct ledger_record
{
  struct ledger_counters counters;
  uint32_t origin; /* index into the ledger's origins */
};

struct ledger_account
{
  struct ledger_key key;
  uint64_t floor;
  uint64_t sum;      /* charged - refunded, of all records and own counters */
  uint64_t expected; /* charged elsewhere, as guessed, not reported */
  uint32_t spread_permille; /* fleet's requests / own requests */
  struct ledger_counters own;
  uint64_t change; /* number of the last own change; 0 for none */
  struct ledger_account *prev;
  struct ledger_account *next;
  struct ledger_record *records;
  uint32_t record_count;
  uint32_t record_capacity;
  UT_hash_handle hh;
};

struct ledger
{
  struct ledger_origin self;
  struct ledger_account *accounts;
  struct ledger_account *changed; /* by own change, the oldest first */
  uint64_t change;                /* number of the newest own change */
  struct ledger_origin *origins;
  uint32_t origin_count;
  uint32_t origin_capacity;
};

static uint64_t normalise (uint64_t cost, uint32_t weight);
static uint64_t max_of (uint64_t a, uint64_t b);
static uint64_t life (uint64_t incarnation);
static void expect_less (struct ledger_account *account, uint64_t amount);
static struct ledger_account *account_find (const struct ledger *ledger,
                                            uint64_t customer_id,
                                            uint64_t service_id);
static struct ledger_account *
account_get (struct ledger *ledger, uint64_t customer_id, uint64_t service_id);
static void account_changed (struct ledger *ledger,
                             struct ledger_account *account);
static int origin_index (struct ledger *ledger, struct ledger_origin origin,
                         uint32_t *index);
static struct ledger_record *record_add (struct ledger_account *account,
                                         uint32_t origin);
static void record_drop (struct ledger_account *account, uint32_t index);
static int counters_raise (struct ledger_account *account,
                           struct ledger_counters *counters,
                           const struct ledger_entry *entry);
static bool is_covered (const struct ledger *ledger,
                        const struct ledger_account *account,
                        struct ledger_origin origin);
static void drop_covered (const struct ledger *ledger,
                          struct ledger_account *account,
                          struct ledger_origin origin);
static int account_fold (struct ledger *ledger, struct ledger_account *account,
                         struct ledger_origin folded, uint32_t index);
static int visit_origin (const struct ledger *ledger, uint32_t origin,
                         ledger_visitor visit, void *user);
static void entry_fill (struct ledger_entry *entry,
                        const struct ledger_account *account,
                        const struct ledger_counters *counters);

static uint64_t
normalise (uint64_t cost, uint32_t weight)
{
  return cost * LEDGER_SCALE / (weight == 0 ? 1 : weight);
}

static uint64_t
max_of (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

static uint64_t
life (uint64_t incarnation)
{
  return incarnation & ~LEDGER_FOLDED;
}

static void
expect_less (struct ledger_account *account, uint64_t amount)
{
  account->expected -= amount < account->expected ? amount : account->expected;
}

struct ledger *
ledger_new (struct ledger_origin self)
{
  struct ledger *ledger = calloc (1, sizeof *ledger);

  if (ledger != NULL)
    ledger->self = self;
  return ledger;
}

void
ledger_free (struct ledger *ledger)
{
  struct ledger_account *account;
  struct ledger_account *next;

  if (ledger == NULL)
    return;
  account = ledger->accounts;
  HASH_CLEAR (hh, ledger->accounts);
  for (; account != NULL; account = next)
    {
      next = account->hh.next;
      free (account->records);
      free (account);
    }
  free (ledger->origins);
  free (ledger);
}

static struct ledger_account *
account_find (const struct ledger *ledger, uint64_t customer_id,
              uint64_t service_id)
{
  struct ledger_key key = { customer_id, service_id };
  struct ledger_account *account;

  HASH_FIND (hh, ledger->accounts, &key, sizeof key, account);
  return account;
}

static struct ledger_account *
account_get (struct ledger *ledger, uint64_t customer_id, uint64_t service_id)
{
  struct ledger_account *account
      = account_find (ledger, customer_id, service_id);

  if (account != NULL)
    return account;
  account = calloc (1, sizeof *account);
  if (account == NULL)
    return NULL;
  account->key.customer_id = customer_id;
  account->key.service_id = service_id;
  account->spread_permille = SPREAD_NONE;
  HASH_ADD (hh, ledger->accounts, key, sizeof account->key, account);
  return account;
}

/* Moves an account to the end of the list of own changes. */
static void
account_changed (struct ledger *ledger, struct ledger_account *account)
{
  if (account->change != 0)
    DL_DELETE (ledger->changed, account);
  account->change = ++ledger->change;
  DL_APPEND (ledger->changed, account);
}

int
ledger_charge (struct ledger *ledger, uint64_t customer_id,
               uint64_t service_id, uint64_t cost, uint32_t weight)
{
  struct ledger_account *account
      = account_get (ledger, customer_id, service_id);
  uint64_t amount = normalise (cost, weight);

  if (account == NULL)
    return ERR_NO_MEMORY;
  account->own.charged += amount;
  account->sum += amount;
  account->expected
      += amount * (account->spread_permille - SPREAD_NONE) / SPREAD_NONE;
  account_changed (ledger, account);
  return 0;
}

int
ledger_refund (struct ledger *ledger, uint64_t customer_id,
               uint64_t service_id, uint64_t cost, uint32_t weight)
{
  struct ledger_account *account
      = account_get (ledger, customer_id, service_id);
  uint64_t amount = normalise (cost, weight);

  if (account == NULL)
    return ERR_NO_MEMORY;
  /* A weight lowered since the charge must not refund more than was charged.
   */
  if (amount > account->own.charged - account->own.refunded)
    amount = account->own.charged - account->own.refunded;
  account->own.refunded += amount;
  account->sum -= amount;
  expect_less (account, amount * (account->spread_permille - SPREAD_NONE)
                            / SPREAD_NONE);
  account_changed (ledger, account);
  return 0;
}

int
ledger_settle (struct ledger *ledger, uint64_t customer_id,
               uint64_t service_id, uint64_t cost)
{
  struct ledger_account *account
      = account_get (ledger, customer_id, service_id);

  if (account == NULL)
    return ERR_NO_MEMORY;
  account->own.cost += cost;
  account_changed (ledger, account);
  return 0;
}

uint64_t
ledger_position (const struct ledger *ledger, uint64_t customer_id,
                 uint64_t service_id)
{
  const struct ledger_account *account
      = account_find (ledger, customer_id, service_id);

  return account == NULL ? 0
                         : account->floor + account->sum + account->expected;
}

uint64_t
ledger_served (const struct ledger *ledger, uint64_t customer_id,
               uint64_t service_id, uint64_t reserved, uint32_t weight)
{
  uint64_t position = ledger_position (ledger, customer_id, service_id);
  uint64_t amount = normalise (reserved, weight);

  return position > amount ? position - amount : 0;
}

void
ledger_interval (struct ledger *ledger)
{
  struct ledger_account *account;

  for (account = ledger->accounts; account != NULL; account = account->hh.next)
    {
      account->expected /= 2;
      account->spread_permille = SPREAD_NONE;
    }
}

void
ledger_spread (struct ledger *ledger, uint64_t customer_id,
               uint64_t service_id, uint32_t spread_permille)
{
  struct ledger_account *account
      = account_find (ledger, customer_id, service_id);

  if (account != NULL && spread_permille >= SPREAD_NONE)
    account->spread_permille = spread_permille;
}

int
ledger_lift (struct ledger *ledger, uint64_t customer_id, uint64_t service_id,
             uint64_t amount)
{
  struct ledger_account *account
      = account_get (ledger, customer_id, service_id);

  if (account == NULL)
    return ERR_NO_MEMORY;
  account->floor += amount;
  account_changed (ledger, account);
  return 0;
}

static int
origin_index (struct ledger *ledger, struct ledger_origin origin,
              uint32_t *index)
{
  uint32_t i;

  for (i = ledger->origin_count; i-- > 0;)
    if (ledger->origins[i].instance_id == origin.instance_id
        && ledger->origins[i].incarnation == origin.incarnation)
      {
        *index = i;
        return 0;
      }
  if (ledger->origin_count == ledger->origin_capacity)
    {
      uint32_t capacity = ledger->origin_capacity == 0
                              ? ORIGINS_MIN
                              : ledger->origin_capacity * 2;
      struct ledger_origin *origins
          = realloc (ledger->origins, capacity * sizeof *origins);

      if (origins == NULL)
        return ERR_NO_MEMORY;
      ledger->origins = origins;
      ledger->origin_capacity = capacity;
    }
  ledger->origins[ledger->origin_count] = origin;
  *index = ledger->origin_count++;
  return 0;
}

static struct ledger_record *
record_add (struct ledger_account *account, uint32_t origin)
{
  struct ledger_record *record;

  if (account->record_count == account->record_capacity)
    {
      uint32_t capacity = account->record_capacity == 0
                              ? RECORDS_MIN
                              : account->record_capacity * 2;
      struct ledger_record *records
          = realloc (account->records, capacity * sizeof *records);

      if (records == NULL)
        return NULL;
      account->records = records;
      account->record_capacity = capacity;
    }
  record = &account->records[account->record_count++];
  memset (record, 0, sizeof *record);
  record->origin = origin;
  return record;
}

static void
record_drop (struct ledger_account *account, uint32_t index)
{
  const struct ledger_counters *counters = &account->records[index].counters;

  account->sum -= counters->charged - counters->refunded;
  account->records[index] = account->records[--account->record_count];
}

/* Merges by maximum.  A refund never outruns its charge, as both come in one
   entry. */
static int
counters_raise (struct ledger_account *account,
                struct ledger_counters *counters,
                const struct ledger_entry *entry)
{
  uint64_t before = counters->charged - counters->refunded;
  uint64_t charged = max_of (counters->charged, entry->charged);
  uint64_t refunded = max_of (counters->refunded, entry->refunded);
  uint64_t cost = max_of (counters->cost, entry->cost);
  int news = charged != counters->charged || refunded != counters->refunded
             || cost != counters->cost;

  counters->charged = charged;
  counters->refunded = refunded;
  counters->cost = cost;
  account->sum += charged - refunded - before;
  if (charged - refunded > before)
    expect_less (account, charged - refunded - before);
  return news;
}

/* Whether a folded record already counts this origin. */
static bool
is_covered (const struct ledger *ledger, const struct ledger_account *account,
            struct ledger_origin origin)
{
  uint32_t i;

  for (i = 0; i < account->record_count; i++)
    {
      struct ledger_origin held = ledger->origins[account->records[i].origin];

      if (held.instance_id == origin.instance_id
          && (held.incarnation & LEDGER_FOLDED) != 0
          && held.incarnation != origin.incarnation
          && life (held.incarnation) >= life (origin.incarnation))
        return true;
    }
  return false;
}

/* Drops the records that a folded one counts. */
static void
drop_covered (const struct ledger *ledger, struct ledger_account *account,
              struct ledger_origin origin)
{
  uint32_t i = 0;

  while (i < account->record_count)
    {
      struct ledger_origin held = ledger->origins[account->records[i].origin];

      if (held.instance_id == origin.instance_id
          && held.incarnation != origin.incarnation
          && life (held.incarnation) <= life (origin.incarnation))
        record_drop (account, i);
      else
        i++;
    }
}

int
ledger_merge (struct ledger *ledger, struct ledger_origin origin,
              const struct ledger_entry *entry)
{
  struct ledger_account *account;
  struct ledger_record *record = NULL;
  uint32_t index;
  uint32_t i;
  int news;

  if (entry->refunded > entry->charged)
    return ERR_INVALID;
  if (origin.instance_id == ledger->self.instance_id
      && life (origin.incarnation) >= ledger->self.incarnation)
    return 0;
  account = account_get (ledger, entry->customer_id, entry->service_id);
  if (account == NULL || origin_index (ledger, origin, &index) != 0)
    return ERR_NO_MEMORY;
  news = entry->floor > account->floor;
  account->floor = max_of (account->floor, entry->floor);
  if (is_covered (ledger, account, origin))
    return news;
  for (i = 0; i < account->record_count && record == NULL; i++)
    if (account->records[i].origin == index)
      record = &account->records[i];
  if (record == NULL)
    {
      if ((origin.incarnation & LEDGER_FOLDED) != 0)
        drop_covered (ledger, account, origin);
      record = record_add (account, index);
      if (record == NULL)
        return ERR_NO_MEMORY;
    }
  return counters_raise (account, &record->counters, entry) || news;
}

static void
entry_fill (struct ledger_entry *entry, const struct ledger_account *account,
            const struct ledger_counters *counters)
{
  entry->customer_id = account->key.customer_id;
  entry->service_id = account->key.service_id;
  entry->charged = counters->charged;
  entry->refunded = counters->refunded;
  entry->cost = counters->cost;
  entry->floor = account->floor;
}

size_t
ledger_changes (const struct ledger *ledger, uint64_t *cursor,
                struct ledger_entry *out, size_t capacity)
{
  const struct ledger_account *first = NULL;
  const struct ledger_account *account;
  size_t count = 0;

  if (ledger->changed == NULL)
    return 0;
  for (account = ledger->changed->prev; account->change > *cursor;
       account = account->prev)
    {
      first = account;
      if (account == ledger->changed)
        break;
    }
  for (; first != NULL && count < capacity; first = first->next)
    {
      entry_fill (&out[count++], first, &first->own);
      *cursor = first->change;
    }
  return count;
}

static int
visit_origin (const struct ledger *ledger, uint32_t origin,
              ledger_visitor visit, void *user)
{
  const struct ledger_account *account;
  struct ledger_entry entry;
  uint32_t i;
  int result;

  for (account = ledger->accounts; account != NULL; account = account->hh.next)
    for (i = 0; i < account->record_count; i++)
      if (account->records[i].origin == origin)
        {
          entry_fill (&entry, account, &account->records[i].counters);
          result = visit (user, ledger->origins[origin], &entry);
          if (result != 0)
            return result;
          break;
        }
  return 0;
}

int
ledger_visit (const struct ledger *ledger, ledger_visitor visit, void *user)
{
  const struct ledger_account *account;
  struct ledger_entry entry;
  uint32_t origin;
  int result;

  for (origin = 0; origin < ledger->origin_count; origin++)
    {
      result = visit_origin (ledger, origin, visit, user);
      if (result != 0)
        return result;
    }
  for (account = ledger->accounts; account != NULL; account = account->hh.next)
    {
      if (account->change == 0)
        continue;
      entry_fill (&entry, account, &account->own);
      result = visit (user, ledger->self, &entry);
      if (result != 0)
        return result;
    }
  return 0;
}

static int
account_fold (struct ledger *ledger, struct ledger_account *account,
              struct ledger_origin folded, uint32_t index)
{
  struct ledger_counters sum = { 0 };
  struct ledger_record *record;
  bool found = false;
  uint32_t i;

  for (i = 0; i < account->record_count; i++)
    {
      struct ledger_origin held = ledger->origins[account->records[i].origin];

      if (held.instance_id != folded.instance_id
          || life (held.incarnation) > life (folded.incarnation))
        continue;
      if (held.incarnation == folded.incarnation)
        return 0;
      sum.charged += account->records[i].counters.charged;
      sum.refunded += account->records[i].counters.refunded;
      sum.cost += account->records[i].counters.cost;
      found = true;
    }
  if (!found)
    return 0;
  drop_covered (ledger, account, folded);
  record = record_add (account, index);
  if (record == NULL)
    return ERR_NO_MEMORY;
  record->counters = sum;
  account->sum += sum.charged - sum.refunded;
  return 0;
}

int
ledger_fold (struct ledger *ledger, struct ledger_origin origin)
{
  struct ledger_account *account;
  uint32_t index;
  int result = 0;

  if (origin.instance_id == ledger->self.instance_id
      && life (origin.incarnation) >= ledger->self.incarnation)
    return ERR_INVALID;
  origin.incarnation |= LEDGER_FOLDED;
  if (origin_index (ledger, origin, &index) != 0)
    return ERR_NO_MEMORY;
  for (account = ledger->accounts; account != NULL && result == 0;
       account = account->hh.next)
    result = account_fold (ledger, account, origin, index);
  return result;
}

size_t
ledger_memory_bytes (const struct ledger *ledger)
{
  const struct ledger_account *account;
  size_t bytes
      = sizeof *ledger + ledger->origin_capacity * sizeof *ledger->origins;

  for (account = ledger->accounts; account != NULL; account = account->hh.next)
    bytes += sizeof *account
             + account->record_capacity * sizeof *account->records;
  return bytes + HASH_OVERHEAD (hh, ledger->accounts);
}
