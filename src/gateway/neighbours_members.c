/**
 * @file neighbours_members.c
 * Membership: each instance keeps an entry with a lease in the store, from
 * which others learn its address.  Only links tell whether an instance is
 * alive.
 */
#include "gateway/neighbours_int.h"
#include "state/err.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_TIMEOUT_MS  20000 /* members change rarely */
#define WATCH_INTERVAL_MS 1000  /* between reads of members */
#define LEASE_MS          9000  /* the entry of a dead instance expires */
#define LEASE_RENEW_MS    3000  /* a third of the lease */
#define RETRY_MS          1000  /* after a failed lease or entry call */
/* On the first start of the whole fleet, all instances have registered by
   then. */
#define BOOTSTRAP_DELAY_MS 1500

static void on_item (void *user, const struct platform_item *item);
static void on_listing_begin (void *user);
static void on_listing_end (void *user, uint64_t index);
static void on_failed (void *user, int error);
static void on_recovered (void *user, uint64_t outage_ns);
static void on_membership_timer (evutil_socket_t fd, short what, void *arg);
static void on_lease_granted (void *user, int error, uint64_t lease);
static void on_entry_written (void *user, int error, uint64_t index);
static void on_lease_renewed (void *user, int error, uint64_t index);
static void schedule_membership (struct neighbours *neighbours,
                                 uint32_t delay_ms);
static void remove_member (struct neighbours *neighbours,
                           struct member_entry *entry);
static int put_member (struct neighbours *neighbours,
                       const struct platform_item *item);
static void set_dialing (struct neighbours *neighbours,
                         struct member_entry *entry, bool dialing);

static const struct store_watch_events member_events = {
  .listing_begin = on_listing_begin,
  .listing_end = on_listing_end,
  .item = on_item,
  .failed = on_failed,
  .recovered = on_recovered,
};

int
neighbours_members_start (struct neighbours *neighbours)
{
  struct gateway *gateway = neighbours->gateway;
  const struct store_watch_config config = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .platform = gateway->platform,
    .prefix = gateway->adapter->own_prefix,
    .min_interval_ms = WATCH_INTERVAL_MS,
    .poll_timeout_ms = WATCH_TIMEOUT_MS,
    .delay_ms = gateway->settings.bootstrap ? BOOTSTRAP_DELAY_MS : 0,
    .seed = neighbours->self_id + 1,
    .events = &member_events,
    .user = neighbours,
  };

  snprintf (neighbours->key, sizeof neighbours->key, "%s%s",
            gateway->adapter->own_prefix, gateway->settings.instance);
  neighbours->membership_timer
      = event_new (gateway->base, -1, 0, on_membership_timer, neighbours);
  if (neighbours->membership_timer == NULL)
    return ERR_NO_MEMORY;
  schedule_membership (neighbours, 0);
  return store_watch_init (&neighbours->member_watch, &config);
}

void
neighbours_members_finish (struct neighbours *neighbours)
{
  struct member_entry *entry = neighbours->members;
  struct member_entry *next;

  store_watch_finish (&neighbours->member_watch);
  if (neighbours->membership_timer != NULL)
    event_free (neighbours->membership_timer);
  HASH_CLEAR (hh, neighbours->members);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}

/* This instance's entry. */

static void
schedule_membership (struct neighbours *neighbours, uint32_t delay_ms)
{
  const struct timeval delay = clock_timeval (delay_ms);

  event_add (neighbours->membership_timer, &delay);
}

static void
on_membership_timer (evutil_socket_t fd, short what, void *arg)
{
  struct neighbours *neighbours = arg;
  struct platform *platform = neighbours->gateway->platform;
  int error;

  (void)fd;
  (void)what;
  if (neighbours->membership == MEMBERSHIP_HELD)
    error = platform->ops->keep (platform, neighbours->lease, on_lease_renewed,
                                 neighbours);
  else
    {
      neighbours->membership = MEMBERSHIP_GRANTING;
      error = platform->ops->grant (platform, LEASE_MS, on_lease_granted,
                                    neighbours);
    }
  if (error != 0)
    schedule_membership (neighbours, RETRY_MS);
}

static void
on_lease_granted (void *user, int error, uint64_t lease)
{
  struct neighbours *neighbours = user;
  struct gateway *gateway = neighbours->gateway;
  struct platform *platform = gateway->platform;
  char value[GATEWAY_ADDRESS_SIZE + GATEWAY_NAME_SIZE + 16];
  const struct platform_item put
      = { .key = neighbours->key,
          .value = value,
          .value_size = (size_t)snprintf (value, sizeof value, "%s %s %u",
                                          peernet_address (neighbours->net),
                                          gateway->settings.availability_zone,
                                          gateway->settings.cpu_permille) };
  const struct platform_commit commit
      = { .puts = &put, .put_count = 1, .lease = lease };

  neighbours->lease = lease;
  neighbours->membership = MEMBERSHIP_WRITING;
  if (error == 0)
    error = platform->ops->commit (platform, &commit, on_entry_written,
                                   neighbours);
  if (error != 0)
    {
      neighbours->membership = MEMBERSHIP_NONE;
      schedule_membership (neighbours, RETRY_MS);
    }
}

static void
on_entry_written (void *user, int error, uint64_t index)
{
  struct neighbours *neighbours = user;

  (void)index;
  neighbours->membership = error == 0 ? MEMBERSHIP_HELD : MEMBERSHIP_NONE;
  schedule_membership (neighbours, error == 0 ? LEASE_RENEW_MS : RETRY_MS);
}

static void
on_lease_renewed (void *user, int error, uint64_t index)
{
  struct neighbours *neighbours = user;

  (void)index;
  if (error == ERR_NOT_FOUND)
    neighbours->membership = MEMBERSHIP_NONE;
  schedule_membership (neighbours, error == 0 ? LEASE_RENEW_MS : RETRY_MS);
}

/* All entries. */

void
neighbours_listing_begin (struct neighbours *neighbours)
{
  struct member_entry *entry;

  for (entry = neighbours->members; entry != NULL; entry = entry->hh.next)
    entry->seen = false;
}

void
neighbours_listing_end (struct neighbours *neighbours)
{
  struct member_entry *entry;
  struct member_entry *next;

  for (entry = neighbours->members; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      if (!entry->seen)
        remove_member (neighbours, entry);
    }
  neighbours->members_changed = true;
  neighbours->members_listed = true;
}

static void
remove_member (struct neighbours *neighbours, struct member_entry *entry)
{
  const struct platform_item deleted = { .key = entry->key };

  neighbours_publish_item (neighbours->gateway, &deleted, true);
  set_dialing (neighbours, entry, false);
  /* False positive: the analyzer assumes that the list head of a later call is
     the entry freed here. */
  /* NOLINTBEGIN(clang-analyzer-*) */
  HASH_DEL (neighbours->members, entry);
  /* NOLINTEND(clang-analyzer-*) */
  free (entry);
  neighbours->members_changed = true;
}

/* The value of an entry is "ADDRESS ZONE CAPACITY". */
static int
put_member (struct neighbours *neighbours, const struct platform_item *item)
{
  size_t prefix = strlen (neighbours->gateway->adapter->own_prefix);
  struct member_entry *entry;
  char value[GATEWAY_ADDRESS_SIZE + GATEWAY_NAME_SIZE + 16];
  char *zone;
  char *capacity;

  if (item->value_size >= sizeof value || strlen (item->key) < prefix
      || strlen (item->key) >= sizeof entry->key)
    return ERR_INVALID;
  memcpy (value, item->value, item->value_size);
  value[item->value_size] = '\0';
  zone = strchr (value, ' ');
  if (zone == NULL || zone - value >= (ptrdiff_t)sizeof entry->address)
    return ERR_INVALID;
  *zone++ = '\0';
  capacity = strchr (zone, ' ');
  if (capacity == NULL)
    return ERR_INVALID;
  *capacity++ = '\0';
  HASH_FIND_STR (neighbours->members, item->key, entry);
  if (entry != NULL && strcmp (entry->address, value) != 0)
    {
      remove_member (neighbours, entry);
      entry = NULL;
    }
  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return ERR_NO_MEMORY;
      memcpy (entry->key, item->key, strlen (item->key) + 1);
      memcpy (entry->address, value, strlen (value) + 1);
      entry->id = catalog_id (item->key + prefix);
      entry->zone_id = catalog_id (zone);
      entry->capacity = (uint32_t)strtoul (capacity, NULL, 10);
      HASH_ADD_STR (neighbours->members, key, entry);
      neighbours->members_changed = true;
    }
  entry->seen = true;
  return 0;
}

void
neighbours_apply_member (struct neighbours *neighbours,
                         const struct platform_item *item)
{
  struct member_entry *entry;
  int error;

  if (item->value == NULL)
    {
      HASH_FIND_STR (neighbours->members, item->key, entry);
      if (entry != NULL)
        remove_member (neighbours, entry);
      return;
    }
  error = put_member (neighbours, item);
  if (error != 0)
    LOG (LOG_PEER_REJECTED, NULL, LOG_S ("member", item->key),
         LOG_S ("error", err_name (error)));
  else
    neighbours_publish_item (neighbours->gateway, item, true);
}

static void
on_item (void *user, const struct platform_item *item)
{
  neighbours_apply_member (user, item);
}

static void
on_listing_begin (void *user)
{
  neighbours_listing_begin (user);
}

static void
on_listing_end (void *user, uint64_t index)
{
  (void)index;
  neighbours_listing_end (user);
}

static void
on_failed (void *user, int error)
{
  (void)user;
  LOG (LOG_STORE_UNAVAILABLE, NULL, LOG_S ("for", "members"),
       LOG_S ("error", err_name (error)));
}

static void
on_recovered (void *user, uint64_t outage_ns)
{
  (void)user;
  LOG (LOG_STORE_RECOVERED, NULL, LOG_S ("for", "members"),
       LOG_U ("outage_ms", outage_ns / CLOCK_NS_PER_MS));
}

/* Hubs. */

void
neighbours_assign_hubs (struct neighbours *neighbours)
{
  size_t count = 0;
  struct hubs_member *members
      = calloc (HASH_COUNT (neighbours->members) + 1, sizeof *members);
  struct member_entry *entry;
  bool self = false;
  size_t i;

  if (members == NULL)
    return;
  neighbours->members_changed = false;
  for (entry = neighbours->members; entry != NULL; entry = entry->hh.next)
    {
      members[count++] = (struct hubs_member){ .id = entry->id,
                                               .zone_id = entry->zone_id,
                                               .capacity = entry->capacity };
      self = self || entry->id == neighbours->self_id;
    }
  if (!self)
    members[count++] = (struct hubs_member){
      .id = neighbours->self_id,
      .zone_id = neighbours->zone_id,
      .capacity = neighbours->gateway->settings.cpu_permille,
    };
  hubs_assign (members, count);
  for (i = 0; i < count; i++)
    if (members[i].id == neighbours->self_id)
      neighbours->hub = members[i].hub;
  for (entry = neighbours->members; entry != NULL; entry = entry->hh.next)
    {
      for (i = 0; i < count && members[i].id != entry->id; i++)
        continue;
      entry->hub = i < count && members[i].hub;
      set_dialing (
          neighbours, entry,
          entry->id != neighbours->self_id && entry->hub
              && (neighbours->hub || entry->zone_id == neighbours->zone_id));
    }
  free (members);
  if (neighbours->hub)
    store_watch_resume (&neighbours->member_watch);
  else if (neighbours->members_listed)
    store_watch_pause (&neighbours->member_watch);
}

static void
set_dialing (struct neighbours *neighbours, struct member_entry *entry,
             bool dialing)
{
  int error = 0;

  if (entry->dialing == dialing)
    return;
  entry->dialing = dialing;
  if (dialing)
    error = peernet_offer (neighbours->net, entry->address, true);
  else
    peernet_withdraw (neighbours->net, entry->address);
  if (error != 0)
    LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", entry->address),
         LOG_S ("error", err_name (error)));
}
