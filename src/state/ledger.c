/**
 * @file ledger.c
 * Accounts of service received.  An account holds one record for each remote
 * origin that has charged it and the counters of this instance inline.  The
 * sum is maintained on each change, so reading a position costs one hash
 * lookup.
 */
#include "state/ledger.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define RECORDS_MIN 2    /* initial capacity */
#define ORIGINS_MIN 16   /* initial capacity */
#define RATIO_ONE   1000 /* permille: all requests are at this instance */

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
  uint32_t origin; /* index into ledger.origins */
};

struct ledger_account
{
  struct ledger_key key;
  uint64_t floor;
  uint64_t sum;      /* charged - refunded, over all records and own */
  uint64_t expected; /* estimated unreported charges of other instances */
  uint32_t fleet_ratio_permille; /* requests in the fleet / at this instance */
  struct ledger_counters own;
  uint64_t own_change; /* sequence number of the last own change; or 0 */
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
  struct ledger_account *changed; /* ordered by own_change */
  uint64_t last_change;           /* highest own_change */
  struct ledger_origin *origins;
  uint32_t origin_count;
  uint32_t origin_capacity;
};

static uint64_t normalise (uint64_t cost, uint32_t weight);
static uint64_t max_of (uint64_t a, uint64_t b);
static uint64_t incarnation_number (uint64_t incarnation);
static void reduce_expected (struct ledger_account *account, uint64_t amount);
static struct ledger_account *account_find (const struct ledger *ledger,
                                            uint64_t customer_id,
                                            uint64_t service_id);
static struct ledger_account *
account_get (struct ledger *ledger, uint64_t customer_id, uint64_t service_id);
static void mark_changed (struct ledger *ledger,
                          struct ledger_account *account);
static int origin_index (struct ledger *ledger, struct ledger_origin origin,
                         uint32_t *index);
static struct ledger_record *record_add (struct ledger_account *account,
                                         uint32_t origin);
static void record_remove (struct ledger_account *account, uint32_t index);
static int counters_merge (struct ledger_account *account,
                           struct ledger_counters *counters,
                           const struct ledger_entry *entry);
static bool is_included (const struct ledger *ledger,
                         const struct ledger_account *account,
                         struct ledger_origin origin);
static void remove_included (const struct ledger *ledger,
                             struct ledger_account *account,
                             struct ledger_origin origin);
static int account_aggregate (struct ledger *ledger,
                              struct ledger_account *account,
                              struct ledger_origin aggregate, uint32_t index);
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
incarnation_number (uint64_t incarnation)
{
  return incarnation & ~LEDGER_AGGREGATE;
}

static void
reduce_expected (struct ledger_account *account, uint64_t amount)
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
  account->fleet_ratio_permille = RATIO_ONE;
  HASH_ADD (hh, ledger->accounts, key, sizeof account->key, account);
  return account;
}

/* Moves an account to the tail of the list of changed accounts. */
static void
mark_changed (struct ledger *ledger, struct ledger_account *account)
{
  if (account->own_change != 0)
    DL_DELETE (ledger->changed, account);
  account->own_change = ++ledger->last_change;
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
      += amount * (account->fleet_ratio_permille - RATIO_ONE) / RATIO_ONE;
  mark_changed (ledger, account);
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
  /* If the weight was lowered since the charge, the same cost normalises to
     more than was charged. */
  if (amount > account->own.charged - account->own.refunded)
    amount = account->own.charged - account->own.refunded;
  account->own.refunded += amount;
  account->sum -= amount;
  reduce_expected (account, amount
                                * (account->fleet_ratio_permille - RATIO_ONE)
                                / RATIO_ONE);
  mark_changed (ledger, account);
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
  mark_changed (ledger, account);
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
ledger_start_interval (struct ledger *ledger)
{
  struct ledger_account *account;

  for (account = ledger->accounts; account != NULL; account = account->hh.next)
    {
      account->expected /= 2;
      account->fleet_ratio_permille = RATIO_ONE;
    }
}

void
ledger_set_fleet_ratio (struct ledger *ledger, uint64_t customer_id,
                        uint64_t service_id, uint32_t fleet_ratio_permille)
{
  struct ledger_account *account
      = account_find (ledger, customer_id, service_id);

  if (account != NULL && fleet_ratio_permille >= RATIO_ONE)
    account->fleet_ratio_permille = fleet_ratio_permille;
}

int
ledger_raise_floor (struct ledger *ledger, uint64_t customer_id,
                    uint64_t service_id, uint64_t amount)
{
  struct ledger_account *account
      = account_get (ledger, customer_id, service_id);

  if (account == NULL)
    return ERR_NO_MEMORY;
  account->floor += amount;
  mark_changed (ledger, account);
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
record_remove (struct ledger_account *account, uint32_t index)
{
  const struct ledger_counters *counters = &account->records[index].counters;

  account->sum -= counters->charged - counters->refunded;
  account->records[index] = account->records[--account->record_count];
}

/* Merges by maximum.  Refunds never exceed charges, since an entry carries
   both from the same point in time. */
static int
counters_merge (struct ledger_account *account,
                struct ledger_counters *counters,
                const struct ledger_entry *entry)
{
  uint64_t before = counters->charged - counters->refunded;
  uint64_t charged = max_of (counters->charged, entry->charged);
  uint64_t refunded = max_of (counters->refunded, entry->refunded);
  uint64_t cost = max_of (counters->cost, entry->cost);
  int changed = charged != counters->charged || refunded != counters->refunded
                || cost != counters->cost;

  counters->charged = charged;
  counters->refunded = refunded;
  counters->cost = cost;
  account->sum += charged - refunded - before;
  if (charged - refunded > before)
    reduce_expected (account, charged - refunded - before);
  return changed;
}

/* Whether an aggregate record already includes this origin. */
static bool
is_included (const struct ledger *ledger, const struct ledger_account *account,
             struct ledger_origin origin)
{
  uint32_t i;

  for (i = 0; i < account->record_count; i++)
    {
      struct ledger_origin existing
          = ledger->origins[account->records[i].origin];

      if (existing.instance_id == origin.instance_id
          && (existing.incarnation & LEDGER_AGGREGATE) != 0
          && existing.incarnation != origin.incarnation
          && incarnation_number (existing.incarnation)
                 >= incarnation_number (origin.incarnation))
        return true;
    }
  return false;
}

/* Removes the records that the aggregate `origin` includes. */
static void
remove_included (const struct ledger *ledger, struct ledger_account *account,
                 struct ledger_origin origin)
{
  uint32_t i = 0;

  while (i < account->record_count)
    {
      struct ledger_origin existing
          = ledger->origins[account->records[i].origin];

      if (existing.instance_id == origin.instance_id
          && existing.incarnation != origin.incarnation
          && incarnation_number (existing.incarnation)
                 <= incarnation_number (origin.incarnation))
        record_remove (account, i);
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
  int changed;

  if (entry->refunded > entry->charged)
    return ERR_INVALID;
  if (origin.instance_id == ledger->self.instance_id
      && incarnation_number (origin.incarnation) >= ledger->self.incarnation)
    return 0;
  account = account_get (ledger, entry->customer_id, entry->service_id);
  if (account == NULL || origin_index (ledger, origin, &index) != 0)
    return ERR_NO_MEMORY;
  changed = entry->floor > account->floor;
  account->floor = max_of (account->floor, entry->floor);
  if (is_included (ledger, account, origin))
    return changed;
  for (i = 0; i < account->record_count && record == NULL; i++)
    if (account->records[i].origin == index)
      record = &account->records[i];
  if (record == NULL)
    {
      if ((origin.incarnation & LEDGER_AGGREGATE) != 0)
        remove_included (ledger, account, origin);
      record = record_add (account, index);
      if (record == NULL)
        return ERR_NO_MEMORY;
    }
  return counters_merge (account, &record->counters, entry) || changed;
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
  for (account = ledger->changed->prev; account->own_change > *cursor;
       account = account->prev)
    {
      first = account;
      if (account == ledger->changed)
        break;
    }
  for (; first != NULL && count < capacity; first = first->next)
    {
      entry_fill (&out[count++], first, &first->own);
      *cursor = first->own_change;
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
      if (account->own_change == 0)
        continue;
      entry_fill (&entry, account, &account->own);
      result = visit (user, ledger->self, &entry);
      if (result != 0)
        return result;
    }
  return 0;
}

static int
account_aggregate (struct ledger *ledger, struct ledger_account *account,
                   struct ledger_origin aggregate, uint32_t index)
{
  struct ledger_counters sum = { 0 };
  struct ledger_record *record;
  bool found = false;
  uint32_t i;

  for (i = 0; i < account->record_count; i++)
    {
      struct ledger_origin existing
          = ledger->origins[account->records[i].origin];

      if (existing.instance_id != aggregate.instance_id
          || incarnation_number (existing.incarnation)
                 > incarnation_number (aggregate.incarnation))
        continue;
      if (existing.incarnation == aggregate.incarnation)
        return 0;
      sum.charged += account->records[i].counters.charged;
      sum.refunded += account->records[i].counters.refunded;
      sum.cost += account->records[i].counters.cost;
      found = true;
    }
  if (!found)
    return 0;
  remove_included (ledger, account, aggregate);
  record = record_add (account, index);
  if (record == NULL)
    return ERR_NO_MEMORY;
  record->counters = sum;
  account->sum += sum.charged - sum.refunded;
  return 0;
}

int
ledger_aggregate (struct ledger *ledger, struct ledger_origin origin)
{
  struct ledger_account *account;
  uint32_t index;
  int result = 0;

  if (origin.instance_id == ledger->self.instance_id
      && incarnation_number (origin.incarnation) >= ledger->self.incarnation)
    return ERR_INVALID;
  origin.incarnation |= LEDGER_AGGREGATE;
  if (origin_index (ledger, origin, &index) != 0)
    return ERR_NO_MEMORY;
  for (account = ledger->accounts; account != NULL && result == 0;
       account = account->hh.next)
    result = account_aggregate (ledger, account, origin, index);
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
