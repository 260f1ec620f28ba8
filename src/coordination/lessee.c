/**
 * @file lessee.c
 * The lessee's side of leases.
 */
#include "coordination/lessee.h"
#include "state/err.h"
#include <stdlib.h>

#define NS_PER_MS  UINT64_C (1000000)
#define HEARTBEATS 128 /* heartbeats whose sending is remembered */
#define ITEMS_MAX  256 /* items of one hold message */
#define ASKERS_MAX 128 /* instances that are to be told everything */

/* What is held at one upstream, besides the entry in the slot table. */
struct lessee_lease
{
  uint64_t upstream_id;
  uint64_t service_id;
  struct slots_entry *entry;
  uint64_t lessor_id; /* whose grant is in force; 0 for none */
  uint64_t lessor_incarnation;
  uint64_t sequence;
  uint32_t granted;
  uint32_t kept; /* as last reported: granted, or busy where that is more */
  uint64_t report_to;  /* instance that is to be told; 0 for none */
  bool again;          /* a fall was told once */
  bool draining;       /* configured to drain */
  uint64_t current;    /* member_lessor of the upstream */
  uint64_t generation; /* of the members when that was looked up */
  UT_hash_handle hh;
};

struct lessee_release
{
  uint64_t service_id;
  uint64_t released_ns;
  UT_hash_handle hh;
};

struct lessee
{
  struct slots *slots;
  const struct catalog *catalog;
  const struct member_table *members;
  struct lessee_lease *leases;
  struct lessee_release *releases;
  uint64_t catalog_generation;
  uint64_t sequences[HEARTBEATS]; /* ring of heartbeats by sequence */
  uint64_t sent_ns[HEARTBEATS];
  uint64_t newest;   /* sequence of the newest heartbeat; 0 for none */
  uint64_t full_ns;  /* everything is next reported */
  uint64_t again_ns; /* falls are next told a second time */
  uint64_t due_ns;   /* nothing is to be settled before */
  bool synced;
  bool draining;
  bool reporting; /* some lease is to be reported */
  uint64_t askers[ASKERS_MAX];
  uint32_t asker_count;
};

static struct lessee_lease *lease_find (const struct lessee *lessee,
                                        uint64_t upstream_id);
static void sync_service (struct lessee *lessee,
                          const struct catalog_service *service);
static bool is_removed (struct lessee *lessee, struct lessee_lease *lease);
static void forget_removed (struct lessee *lessee);
static void sync_catalog (struct lessee *lessee);
static void report (struct lessee *lessee, struct lessee_lease *lease);
static bool settle (struct lessee *lessee, struct lessee_lease *lease,
                    uint64_t now_ns);
static void settle_all (struct lessee *lessee, uint64_t now_ns);
static uint64_t lease_end (const struct lessee *lessee,
                           const struct message_grant *grant, uint64_t now_ns);
static void answer (struct lessee *lessee, uint64_t lessor_id);
static uint64_t lessor_of (const struct lessee *lessee,
                           struct lessee_lease *lease);
static void tell_again (struct lessee *lessee, uint64_t now_ns);
static bool apply (struct lessee *lessee, uint64_t lessor_id,
                   uint64_t incarnation,
                   const struct message_grant_item *item);
static void fill_item (const struct lessee_lease *lease,
                       const struct member *lessor,
                       struct message_hold_item *item);
static int send_to (struct lessee *lessee, uint64_t lessor_id, bool all,
                    const struct message_link *link);

struct lessee *
lessee_new (struct slots *slots, const struct catalog *catalog,
            const struct member_table *members)
{
  struct lessee *lessee = calloc (1, sizeof *lessee);

  if (lessee == NULL)
    return NULL;
  lessee->slots = slots;
  lessee->catalog = catalog;
  lessee->members = members;
  return lessee;
}

void
lessee_free (struct lessee *lessee)
{
  struct lessee_lease *lease;
  struct lessee_release *release;
  void *next;

  if (lessee == NULL)
    return;
  lease = lessee->leases;
  HASH_CLEAR (hh, lessee->leases);
  for (; lease != NULL; lease = next)
    {
      next = lease->hh.next;
      free (lease);
    }
  release = lessee->releases;
  HASH_CLEAR (hh, lessee->releases);
  for (; release != NULL; release = next)
    {
      next = release->hh.next;
      free (release);
    }
  free (lessee);
}

static struct lessee_lease *
lease_find (const struct lessee *lessee, uint64_t upstream_id)
{
  struct lessee_lease *lease;

  HASH_FIND (hh, lessee->leases, &upstream_id, sizeof upstream_id, lease);
  return lease;
}

static void
sync_service (struct lessee *lessee, const struct catalog_service *service)
{
  uint32_t i;

  for (i = 0; i < service->upstream_count; i++)
    {
      const struct catalog_upstream *upstream = &service->upstreams[i];
      struct slots_entry *entry
          = slots_add (lessee->slots, upstream->id, service->id);
      struct lessee_lease *lease = lease_find (lessee, upstream->id);

      if (lease == NULL)
        {
          lease = calloc (1, sizeof *lease);
          if (lease == NULL || entry == NULL)
            {
              free (lease);
              lessee->synced = false;
              return;
            }
          lease->upstream_id = upstream->id;
          lease->service_id = service->id;
          lease->entry = entry;
          HASH_ADD (hh, lessee->leases, upstream_id, sizeof lease->upstream_id,
                    lease);
        }
      /* An upstream that said itself that it drains stays so until its
         configuration has said so too and then no more. */
      if (entry != NULL && (upstream->draining || lease->draining))
        entry->draining = upstream->draining;
      lease->draining = upstream->draining;
    }
}

/* Whether a lease's upstream is configured no more and has nothing in
   flight. */
static bool
is_removed (struct lessee *lessee, struct lessee_lease *lease)
{
  const struct catalog_service *service
      = catalog_service (lessee->catalog, lease->service_id);

  if (service != NULL
      && catalog_upstream (service, lease->upstream_id) != NULL)
    return false;
  lease->entry->draining = true;
  lease->entry->capacity = lease->entry->busy;
  lease->draining = true;
  lease->granted = 0;
  if (lease->entry->busy == 0)
    return true;
  lessee->synced = false; /* look again until its last request ends */
  return false;
}

static void
forget_removed (struct lessee *lessee)
{
  struct lessee_lease *lease = lessee->leases;
  struct lessee_lease *next;

  HASH_CLEAR (hh, lessee->leases);
  for (; lease != NULL; lease = next)
    {
      next = lease->hh.next;
      if (is_removed (lessee, lease))
        {
          slots_remove (lessee->slots, lease->upstream_id);
          free (lease);
        }
      else
        HASH_ADD (hh, lessee->leases, upstream_id, sizeof lease->upstream_id,
                  lease);
    }
}

/* Brings the slot table in line with the catalog. */
static void
sync_catalog (struct lessee *lessee)
{
  const struct catalog_service *service;

  if (lessee->synced
      && lessee->catalog_generation == lessee->catalog->generation)
    return;
  lessee->synced = true;
  lessee->catalog_generation = lessee->catalog->generation;
  for (service = lessee->catalog->services; service != NULL;
       service = service->hh.next)
    sync_service (lessee, service);
  forget_removed (lessee);
}

static void
report (struct lessee *lessee, struct lessee_lease *lease)
{
  lease->report_to = lease->lessor_id;
  lessee->reporting = true;
}

/* Lowers capacity to what is granted as requests end, and to what is busy
   once the lease has run out.  @return true when capacity changed. */
static bool
settle (struct lessee *lessee, struct lessee_lease *lease, uint64_t now_ns)
{
  struct slots_entry *entry = lease->entry;
  uint32_t keep;
  bool changed;

  if (now_ns >= entry->expiry_ns)
    lease->granted = 0;
  keep = lease->granted > entry->busy ? lease->granted : entry->busy;
  changed = entry->capacity != lease->granted;
  entry->capacity = lease->granted;
  if (lease->kept == keep)
    return changed;
  lease->kept = keep;
  lease->again = true;
  report (lessee, lease);
  return changed;
}

static void
settle_all (struct lessee *lessee, uint64_t now_ns)
{
  struct lessee_lease *lease;

  lessee->due_ns = UINT64_MAX;
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    {
      const struct slots_entry *entry = lease->entry;

      settle (lessee, lease, now_ns);
      if (lease->kept > lease->granted)
        lessee->due_ns = now_ns;
      else if (entry->capacity > 0 && entry->expiry_ns < lessee->due_ns)
        lessee->due_ns = entry->expiry_ns;
    }
}

void
lessee_link_up (struct lessee *lessee, uint64_t instance_id)
{
  answer (lessee, instance_id);
}

void
lessee_heartbeat (struct lessee *lessee, uint64_t sequence, uint64_t now_ns)
{
  lessee->sequences[sequence % HEARTBEATS] = sequence;
  lessee->sent_ns[sequence % HEARTBEATS] = now_ns;
  if (sequence > lessee->newest)
    lessee->newest = sequence;
}

/* When a grant's lease ends; 0 when it names a heartbeat that this process
   did not send, or sent too long ago to remember. */
static uint64_t
lease_end (const struct lessee *lessee, const struct message_grant *grant,
           uint64_t now_ns)
{
  uint64_t sequence = grant->heartbeat_sequence;
  uint64_t from_ns = now_ns;

  if (sequence != 0 && lessee->newest != 0)
    {
      if (lessee->sequences[sequence % HEARTBEATS] != sequence)
        return 0;
      from_ns = lessee->sent_ns[sequence % HEARTBEATS];
    }
  return from_ns + grant->lease_ms * NS_PER_MS;
}

/* One that finds no room asks again. */
static void
answer (struct lessee *lessee, uint64_t lessor_id)
{
  uint32_t i = 0;

  while (i < lessee->asker_count && lessee->askers[i] != lessor_id)
    i++;
  if (i == lessee->asker_count && i < ASKERS_MAX)
    lessee->askers[lessee->asker_count++] = lessor_id;
}

/* The lessor as seen here.  One that has ceased to be it for this upstream
   may still be it for others, and its renewals are for those only. */
static uint64_t
lessor_of (const struct lessee *lessee, struct lessee_lease *lease)
{
  if (lease->current == 0 || lease->generation != lessee->members->generation)
    {
      lease->current = member_lessor (lessee->members, lease->upstream_id);
      lease->generation = lessee->members->generation;
    }
  return lease->current;
}

/* A grant that is lost is repeated, as it is not confirmed; nothing confirms
   that a fall was heard of, so it is told twice, and all is in a while. */
static void
tell_again (struct lessee *lessee, uint64_t now_ns)
{
  struct lessee_lease *lease;
  bool all = now_ns >= lessee->full_ns;

  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    {
      if (all || lease->again)
        report (lessee, lease);
      lease->again = false;
    }
  lessee->again_ns = now_ns + LESSEE_AGAIN_MS * NS_PER_MS;
  if (all)
    lessee->full_ns = now_ns + LESSEE_FULL_MS * NS_PER_MS;
}

/* @return true when capacity changed. */
static bool
apply (struct lessee *lessee, uint64_t lessor_id, uint64_t incarnation,
       const struct message_grant_item *item)
{
  struct lessee_lease *lease = lease_find (lessee, item->upstream_id);
  struct slots_entry *entry;
  uint32_t before;

  if (lease == NULL || lessor_of (lessee, lease) != lessor_id)
    return false;
  if (lease->lessor_id == lessor_id && lease->lessor_incarnation == incarnation
      && item->sequence <= lease->sequence)
    {
      if (item->sequence == lease->sequence)
        report (lessee, lease);
      return false;
    }
  entry = lease->entry;
  before = entry->capacity;
  if (lease->lessor_id != lessor_id
      || lease->lessor_incarnation != incarnation)
    entry->expiry_ns = 0;
  lease->lessor_id = lessor_id;
  lease->lessor_incarnation = incarnation;
  lease->sequence = item->sequence;
  lease->granted = lessee->draining ? 0 : item->slots;
  entry->capacity = lease->granted;
  lease->kept = lease->granted > entry->busy ? lease->granted : entry->busy;
  report (lessee, lease);
  return entry->capacity != before;
}

int
lessee_grant (struct lessee *lessee, uint64_t lessor_id,
              const struct message_grant *grant, uint64_t now_ns)
{
  const struct member *lessor = member_find (lessee->members, lessor_id);
  uint64_t end_ns = lease_end (lessee, grant, now_ns);
  struct lessee_lease *lease;
  bool changed = false;
  size_t i;

  if (lessor == NULL || lessor->incarnation != grant->lessor_incarnation)
    return ERR_STALE;
  sync_catalog (lessee);
  if (grant->lease_ms == 0)
    {
      answer (lessee, lessor_id);
      return 0;
    }
  if (end_ns <= now_ns)
    return ERR_STALE;
  /* A renewal must not revive what ran out. */
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    if (lease->lessor_id == lessor_id && settle (lessee, lease, now_ns))
      changed = true;
  for (i = 0; i < grant->item_count; i++)
    if (apply (lessee, lessor_id, grant->lessor_incarnation, &grant->items[i]))
      changed = true;
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    if (lease->lessor_id == lessor_id
        && lease->lessor_incarnation == grant->lessor_incarnation
        && lessor_of (lessee, lease) == lessor_id
        && end_ns > lease->entry->expiry_ns)
      lease->entry->expiry_ns = end_ns;
  lessee->due_ns = 0;
  return changed ? 1 : 0;
}

uint32_t
lessee_release (struct lessee *lessee, uint64_t service_id, uint32_t wanted,
                uint64_t now_ns)
{
  struct lessee_release *release;
  struct lessee_lease *lease;
  uint32_t released = 0;

  HASH_FIND (hh, lessee->releases, &service_id, sizeof service_id, release);
  if (release == NULL)
    {
      release = calloc (1, sizeof *release);
      if (release == NULL)
        return 0;
      release->service_id = service_id;
      HASH_ADD (hh, lessee->releases, service_id, sizeof release->service_id,
                release);
    }
  else if (now_ns - release->released_ns < LESSEE_RELEASE_MS * NS_PER_MS)
    return 0;
  for (lease = lessee->leases; lease != NULL && released < wanted;
       lease = lease->hh.next)
    {
      struct slots_entry *entry = lease->entry;
      uint32_t idle;

      if (lease->service_id != service_id)
        continue;
      idle = slots_free (entry, now_ns);
      if (idle > wanted - released)
        idle = wanted - released;
      if (idle == 0)
        continue;
      entry->capacity -= idle;
      lease->granted = entry->capacity;
      lease->kept = lease->granted;
      released += idle;
      lease->again = true;
      report (lessee, lease);
    }
  if (released > 0)
    release->released_ns = now_ns;
  return released;
}

static void
fill_item (const struct lessee_lease *lease, const struct member *lessor,
           struct message_hold_item *item)
{
  item->upstream_id = lease->upstream_id;
  item->sequence = lease->lessor_id == lessor->instance_id
                           && lease->lessor_incarnation == lessor->incarnation
                       ? lease->sequence
                       : 0;
  item->capacity = lease->granted > lease->entry->busy ? lease->granted
                                                       : lease->entry->busy;
  item->busy = lease->entry->busy;
}

/* Tells one lessor what it is to be told, or all that is held anywhere.
   @return number of messages sent. */
static int
send_to (struct lessee *lessee, uint64_t lessor_id, bool all,
         const struct message_link *link)
{
  const struct member *lessor = member_find (lessee->members, lessor_id);
  struct message_hold_item items[ITEMS_MAX];
  struct message message = { .kind = MESSAGE_HOLD, .u.hold = { 0, 0, items } };
  struct message_hold *hold = &message.u.hold;
  struct lessee_lease *lease;
  int sent = 0;

  if (lessor != NULL)
    hold->lessor_incarnation = lessor->incarnation;
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    {
      if (!all && lease->report_to != lessor_id)
        continue;
      if (lease->report_to == lessor_id)
        lease->report_to = 0;
      if (lessor == NULL)
        continue;
      fill_item (lease, lessor, &items[hold->item_count++]);
      if (hold->item_count == ITEMS_MAX)
        {
          link->send (link->user, lessor_id, &message);
          hold->item_count = 0;
          sent++;
        }
    }
  if (hold->item_count == 0)
    return sent;
  link->send (link->user, lessor_id, &message);
  return sent + 1;
}

int
lessee_run (struct lessee *lessee, uint64_t now_ns,
            const struct message_link *link)
{
  struct lessee_lease *lease;
  int sent = 0;

  sync_catalog (lessee);
  if (now_ns >= lessee->due_ns)
    settle_all (lessee, now_ns);
  if (now_ns >= lessee->again_ns)
    tell_again (lessee, now_ns);
  while (lessee->asker_count > 0)
    sent
        += send_to (lessee, lessee->askers[--lessee->asker_count], true, link);
  if (!lessee->reporting)
    return sent;
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    if (lease->report_to != 0)
      sent += send_to (lessee, lease->report_to, false, link);
  lessee->reporting = false;
  return sent;
}

void
lessee_drain (struct lessee *lessee)
{
  struct lessee_lease *lease;

  lessee->draining = true;
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    {
      lease->granted = 0;
      report (lessee, lease);
    }
  lessee->due_ns = 0;
}
