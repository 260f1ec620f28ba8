/**
 * @file lessee.c
 * The lessee: applies the grants of lessors and reports to them the slots that
 * it holds.
 */
#include "coordination/lessee.h"
#include "state/err.h"
#include <stdlib.h>

#define NS_PER_MS        UINT64_C (1000000)
#define HEARTBEATS_KEPT  128 /* heartbeats whose send time is kept */
#define ITEMS_MAX        256 /* items of one hold message */
#define FULL_REPORTS_MAX 128 /* instances that are sent a full report */

/* Lease at one upstream; the slots themselves are in the slot table. */
struct lessee_lease
{
  uint64_t upstream_id;
  uint64_t service_id;
  struct slots_entry *entry;
  uint64_t lessor_id; /* instance whose grant is in force; 0 for none */
  uint64_t lessor_incarnation;
  uint64_t sequence;       /* of the newest grant item applied */
  uint32_t granted;        /* slots; 0 once the lease has expired */
  uint32_t reported_slots; /* as last reported: granted, or busy if greater */
  uint64_t report_to;      /* instance to report to; 0 for none */
  bool repeat_report;      /* a reduction was reported only once */
  bool draining;           /* the configuration drains the upstream */
  uint64_t current_lessor_id; /* cached result of member_lessor; 0: none */
  uint64_t member_generation; /* of the member table that gave it */
  UT_hash_handle hh;
};

/* Last release of idle slots of a service. */
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
  uint64_t sequences[HEARTBEATS_KEPT]; /* ring buffer of heartbeats */
  uint64_t sent_ns[HEARTBEATS_KEPT];   /* their send times, same places */
  uint64_t newest_sequence; /* sequence of the newest heartbeat; 0 for none */
  uint64_t next_full_report_ns; /* next report of everything held */
  uint64_t next_repeat_ns;      /* next second report of reductions */
  uint64_t next_update_ns;      /* next time that a capacity may change */
  bool synced;                  /* the last sync_catalog left nothing to do */
  bool draining;                /* this instance drains */
  bool report_due;              /* some lease has an instance to report to */
  uint64_t full_report_to[FULL_REPORTS_MAX];
  uint32_t full_report_count;
};

static struct lessee_lease *lease_find (const struct lessee *lessee,
                                        uint64_t upstream_id);
static void sync_service (struct lessee *lessee,
                          const struct catalog_service *service);
static bool is_removable (struct lessee *lessee, struct lessee_lease *lease);
static void remove_unconfigured (struct lessee *lessee);
static void sync_catalog (struct lessee *lessee);
static void queue_report (struct lessee *lessee, struct lessee_lease *lease);
static bool update_capacity (struct lessee *lessee, struct lessee_lease *lease,
                             uint64_t now_ns);
static void update_capacities (struct lessee *lessee, uint64_t now_ns);
static uint64_t lease_end (const struct lessee *lessee,
                           const struct message_grant *grant, uint64_t now_ns);
static void queue_full_report (struct lessee *lessee, uint64_t lessor_id);
static uint64_t current_lessor (const struct lessee *lessee,
                                struct lessee_lease *lease);
static void repeat_reports (struct lessee *lessee, uint64_t now_ns);
static bool apply_item (struct lessee *lessee, uint64_t lessor_id,
                        uint64_t incarnation,
                        const struct message_grant_item *item);
static void fill_item (const struct lessee_lease *lease,
                       const struct member *lessor,
                       struct message_hold_item *item);
static int send_report (struct lessee *lessee, uint64_t lessor_id, bool all,
                        const struct message_sender *sender);

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
      /* An upstream that reported in a response that it drains stays in that
         state until its configuration has set draining and then cleared it, or
         until dispatch_retry_drained lets it be tried again. */
      if (entry != NULL && (upstream->draining || lease->draining))
        entry->draining = upstream->draining;
      lease->draining = upstream->draining;
    }
}

/* Whether the upstream of a lease is no longer configured and has no requests
   in flight.  Marks an upstream that is no longer configured as draining and
   lowers its capacity to the slots that its requests use. */
static bool
is_removable (struct lessee *lessee, struct lessee_lease *lease)
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
  lessee->synced = false; /* check again until its last request ends */
  return false;
}

static void
remove_unconfigured (struct lessee *lessee)
{
  struct lessee_lease *lease = lessee->leases;
  struct lessee_lease *next;

  HASH_CLEAR (hh, lessee->leases);
  for (; lease != NULL; lease = next)
    {
      next = lease->hh.next;
      if (is_removable (lessee, lease))
        {
          slots_remove (lessee->slots, lease->upstream_id);
          free (lease);
        }
      else
        HASH_ADD (hh, lessee->leases, upstream_id, sizeof lease->upstream_id,
                  lease);
    }
}

/* Updates the slot table from the catalog. */
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
  remove_unconfigured (lessee);
}

static void
queue_report (struct lessee *lessee, struct lessee_lease *lease)
{
  lease->report_to = lease->lessor_id;
  lessee->report_due = true;
}

/* Sets the capacity to the slots granted, or to 0 once the lease has expired,
   and queues a report when the slots held changed.
   @return true when capacity changed. */
static bool
update_capacity (struct lessee *lessee, struct lessee_lease *lease,
                 uint64_t now_ns)
{
  struct slots_entry *entry = lease->entry;
  uint32_t held_slots;
  bool changed;

  if (now_ns >= entry->expiry_ns)
    lease->granted = 0;
  held_slots = lease->granted > entry->busy ? lease->granted : entry->busy;
  changed = entry->capacity != lease->granted;
  entry->capacity = lease->granted;
  if (lease->reported_slots == held_slots)
    return changed;
  lease->reported_slots = held_slots;
  lease->repeat_report = true;
  queue_report (lessee, lease);
  return changed;
}

static void
update_capacities (struct lessee *lessee, uint64_t now_ns)
{
  struct lessee_lease *lease;

  lessee->next_update_ns = UINT64_MAX;
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    {
      const struct slots_entry *entry = lease->entry;

      update_capacity (lessee, lease, now_ns);
      if (lease->reported_slots > lease->granted)
        lessee->next_update_ns = now_ns;
      else if (entry->capacity > 0
               && entry->expiry_ns < lessee->next_update_ns)
        lessee->next_update_ns = entry->expiry_ns;
    }
}

void
lessee_link_up (struct lessee *lessee, uint64_t instance_id)
{
  queue_full_report (lessee, instance_id);
}

void
lessee_heartbeat_sent (struct lessee *lessee, uint64_t sequence,
                       uint64_t now_ns)
{
  lessee->sequences[sequence % HEARTBEATS_KEPT] = sequence;
  lessee->sent_ns[sequence % HEARTBEATS_KEPT] = now_ns;
  if (sequence > lessee->newest_sequence)
    lessee->newest_sequence = sequence;
}

/* Time at which the lease of a grant ends; 0 when the grant names a heartbeat
   that this process did not send, or that is too old to be in the ring. */
static uint64_t
lease_end (const struct lessee *lessee, const struct message_grant *grant,
           uint64_t now_ns)
{
  uint64_t sequence = grant->heartbeat_sequence;
  uint64_t start_ns = now_ns;

  if (sequence != 0 && lessee->newest_sequence != 0)
    {
      if (lessee->sequences[sequence % HEARTBEATS_KEPT] != sequence)
        return 0;
      start_ns = lessee->sent_ns[sequence % HEARTBEATS_KEPT];
    }
  return start_ns + grant->lease_ms * NS_PER_MS;
}

/* Queues a report of everything held.  When the list is full, nothing is
   queued: the lessor queries again. */
static void
queue_full_report (struct lessee *lessee, uint64_t lessor_id)
{
  uint32_t i = 0;

  while (i < lessee->full_report_count
         && lessee->full_report_to[i] != lessor_id)
    i++;
  if (i == lessee->full_report_count && i < FULL_REPORTS_MAX)
    lessee->full_report_to[lessee->full_report_count++] = lessor_id;
}

/* The lessor of an upstream by this instance's member table.  An instance that
   is no longer lessor of this upstream may still be lessor of others, and its
   renewals then apply only to those. */
static uint64_t
current_lessor (const struct lessee *lessee, struct lessee_lease *lease)
{
  if (lease->current_lessor_id == 0
      || lease->member_generation != lessee->members->generation)
    {
      lease->current_lessor_id
          = member_lessor (lessee->members, lease->upstream_id);
      lease->member_generation = lessee->members->generation;
    }
  return lease->current_lessor_id;
}

/* Queues reports of reductions a second time, and periodically reports of all
   leases.  A lost grant is sent again because it is not confirmed, but nothing
   confirms a report of a reduction. */
static void
repeat_reports (struct lessee *lessee, uint64_t now_ns)
{
  struct lessee_lease *lease;
  bool all = now_ns >= lessee->next_full_report_ns;

  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    {
      if (all || lease->repeat_report)
        queue_report (lessee, lease);
      lease->repeat_report = false;
    }
  lessee->next_repeat_ns = now_ns + LESSEE_REPEAT_MS * NS_PER_MS;
  if (all)
    lessee->next_full_report_ns = now_ns + LESSEE_FULL_REPORT_MS * NS_PER_MS;
}

/* Applies one item of a grant. @return true when capacity changed. */
static bool
apply_item (struct lessee *lessee, uint64_t lessor_id, uint64_t incarnation,
            const struct message_grant_item *item)
{
  struct lessee_lease *lease = lease_find (lessee, item->upstream_id);
  struct slots_entry *entry;
  uint32_t capacity_before;

  if (lease == NULL || current_lessor (lessee, lease) != lessor_id)
    return false;
  if (lease->lessor_id == lessor_id && lease->lessor_incarnation == incarnation
      && item->sequence <= lease->sequence)
    {
      if (item->sequence == lease->sequence)
        queue_report (lessee, lease);
      return false;
    }
  entry = lease->entry;
  capacity_before = entry->capacity;
  if (lease->lessor_id != lessor_id
      || lease->lessor_incarnation != incarnation)
    entry->expiry_ns = 0;
  lease->lessor_id = lessor_id;
  lease->lessor_incarnation = incarnation;
  lease->sequence = item->sequence;
  lease->granted = lessee->draining ? 0 : item->slots;
  entry->capacity = lease->granted;
  lease->reported_slots
      = lease->granted > entry->busy ? lease->granted : entry->busy;
  queue_report (lessee, lease);
  return entry->capacity != capacity_before;
}

int
lessee_receive_grant (struct lessee *lessee, uint64_t lessor_id,
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
      queue_full_report (lessee, lessor_id);
      return 0;
    }
  if (end_ns <= now_ns)
    return ERR_STALE;
  /* A renewal must not extend a lease that has expired. */
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    if (lease->lessor_id == lessor_id
        && update_capacity (lessee, lease, now_ns))
      changed = true;
  for (i = 0; i < grant->item_count; i++)
    if (apply_item (lessee, lessor_id, grant->lessor_incarnation,
                    &grant->items[i]))
      changed = true;
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    if (lease->lessor_id == lessor_id
        && lease->lessor_incarnation == grant->lessor_incarnation
        && current_lessor (lessee, lease) == lessor_id
        && end_ns > lease->entry->expiry_ns)
      lease->entry->expiry_ns = end_ns;
  lessee->next_update_ns = 0;
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
      lease->reported_slots = lease->granted;
      released += idle;
      lease->repeat_report = true;
      queue_report (lessee, lease);
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

/* Sends one instance the reports queued for it, or everything held.
   @return number of messages sent. */
static int
send_report (struct lessee *lessee, uint64_t lessor_id, bool all,
             const struct message_sender *sender)
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
          sender->send (sender->user, lessor_id, &message);
          hold->item_count = 0;
          sent++;
        }
    }
  if (hold->item_count == 0)
    return sent;
  sender->send (sender->user, lessor_id, &message);
  return sent + 1;
}

int
lessee_run (struct lessee *lessee, uint64_t now_ns,
            const struct message_sender *sender)
{
  struct lessee_lease *lease;
  int sent = 0;

  sync_catalog (lessee);
  if (now_ns >= lessee->next_update_ns)
    update_capacities (lessee, now_ns);
  if (now_ns >= lessee->next_repeat_ns)
    repeat_reports (lessee, now_ns);
  while (lessee->full_report_count > 0)
    sent += send_report (lessee,
                         lessee->full_report_to[--lessee->full_report_count],
                         true, sender);
  if (!lessee->report_due)
    return sent;
  for (lease = lessee->leases; lease != NULL; lease = lease->hh.next)
    if (lease->report_to != 0)
      sent += send_report (lessee, lease->report_to, false, sender);
  lessee->report_due = false;
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
      queue_report (lessee, lease);
    }
  lessee->next_update_ns = 0;
}
