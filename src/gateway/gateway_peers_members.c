/**
 * @file gateway_peers_members.c
 * Membership: each instance keeps an entry with a lease in the store, from
 * which others learn its address.  Only links tell whether an instance is
 * alive.
 */
#include "gateway/gateway_peers_int.h"
#include "gateway/gateway_quarantine.h"
#include "gateway/gateway_stream_store.h"
#include "state/err.h"
#include "transport/log.h"
#include "transport/loop.h"
#include "transport/sock.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_TIMEOUT_MS  20000 /* members change rarely */
#define WATCH_INTERVAL_MS 1000  /* between reads of members */
#define LEASE_MS          9000  /* then the entry of a dead instance expires */
#define LEASE_RENEW_MS    3000  /* a third of the lease */
#define RETRY_MS          1000  /* after a failed lease or entry call */
/* After an outage or a restore of the store, live members register again
   within this time: a renewal that fails, its retry, and a lost call. */
#define MISSING_MEMBER_KEPT_MS 6000
#define MEMBER_VALUE_SIZE      (GATEWAY_ADDRESS_SIZE + GATEWAY_NAME_SIZE + 16)
/* Delay of the first listing on the first start of the whole fleet: by then
   all instances have registered. */
#define BOOTSTRAP_DELAY_MS 1500

static void on_item (void *user, const struct kvstore_item *item);
static void on_listing_begin (void *user);
static void on_listing_end (void *user, const struct store_position *position);
static void on_failed (void *user, int error);
static void on_recovered (void *user, uint64_t outage_ns);
static void on_restored (void *user, const struct store_position *lost);
static void on_membership_timer (evutil_socket_t fd, short what, void *arg);
static void on_lease_granted (void *user, int error, uint64_t lease);
static void on_entry_written (void *user, int error, uint64_t index);
static void on_lease_renewed (void *user, int error, uint64_t index);
static void schedule_membership (struct gateway_peers *peers,
                                 uint32_t delay_ms);
static void apply_member (struct gateway_peers *peers,
                          const struct kvstore_item *item, bool keep_missing);
static void end_listing (struct gateway_peers *peers, bool keep_missing);
static void keep_missing_members (struct gateway_peers *peers);
static void list_all_members (struct gateway_peers *peers);
static bool missing_members_kept (const struct gateway_peers *peers);
static void drop_member (struct gateway_peers *peers,
                         struct gateway_peers_member *member,
                         bool keep_missing);
static void remove_member (struct gateway_peers *peers,
                           struct gateway_peers_member *member);
static int parse_member (char *value, const char **zone, uint32_t *capacity);
static int put_member (struct gateway_peers *peers,
                       const struct kvstore_item *item);
static void set_dialing (struct gateway_peers *peers,
                         struct gateway_peers_member *member, bool dialing);

static const struct store_watch_events member_events = {
  .listing_begin = on_listing_begin,
  .listing_end = on_listing_end,
  .item = on_item,
  .failed = on_failed,
  .recovered = on_recovered,
  .restored = on_restored,
};

int
gateway_peers_members_start (struct gateway_peers *peers)
{
  struct gateway *gateway = peers->gateway;
  const struct store_watch_config config = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .kvstore = gateway->store,
    .prefix = peers->zone_prefix,
    .min_interval_ms = WATCH_INTERVAL_MS,
    .poll_timeout_ms = WATCH_TIMEOUT_MS,
    .delay_ms = gateway->settings.bootstrap ? BOOTSTRAP_DELAY_MS : 0,
    .seed = peers->self_id + 1,
    .events = &member_events,
    .user = peers,
  };

  snprintf (peers->zone_prefix, sizeof peers->zone_prefix, "%s%s/",
            gateway->adapter->gateway_prefix,
            gateway->settings.availability_zone);
  snprintf (peers->key, sizeof peers->key, "%s%s/%s",
            gateway->adapter->gateway_prefix,
            gateway->settings.availability_zone, gateway->settings.instance);
  /* Hubs could not forward the entry. */
  if (strlen (peers->key) >= MESSAGE_KEY_SIZE)
    return ERR_TOO_LARGE;
  peers->membership_timer
      = event_new (gateway->base, -1, 0, on_membership_timer, peers);
  if (peers->membership_timer == NULL)
    return ERR_NO_MEMORY;
  loop_set_control (peers->membership_timer);
  schedule_membership (peers, 0);
  return store_watch_init (&peers->member_watch, &config);
}

void
gateway_peers_members_finish (struct gateway_peers *peers)
{
  struct gateway_peers_member *member = peers->members;
  struct gateway_peers_member *next;

  store_watch_finish (&peers->member_watch);
  if (peers->membership_timer != NULL)
    event_free (peers->membership_timer);
  HASH_CLEAR (hh, peers->members);
  for (; member != NULL; member = next)
    {
      next = member->hh.next;
      free (member);
    }
}

/* This instance's entry. */

static void
schedule_membership (struct gateway_peers *peers, uint32_t delay_ms)
{
  const struct timeval delay = clock_timeval (delay_ms);

  event_add (peers->membership_timer, &delay);
}

static void
on_membership_timer (evutil_socket_t fd, short what, void *arg)
{
  struct gateway_peers *peers = arg;
  struct kvstore *store = peers->gateway->store;
  int error;

  (void)fd;
  (void)what;
  peers->renewal_start_ns = gateway_now_ns (peers->gateway);
  if (peers->membership == MEMBERSHIP_HELD
      && digits_compare (&peers->lease_era, &store->era) == 0)
    error = store->ops->lease_keep_alive (store, peers->lease,
                                          on_lease_renewed, peers);
  else
    {
      peers->membership = MEMBERSHIP_GRANTING;
      error
          = store->ops->lease_grant (store, LEASE_MS, on_lease_granted, peers);
    }
  if (error != 0)
    schedule_membership (peers, RETRY_MS);
}

static void
on_lease_granted (void *user, int error, uint64_t lease)
{
  struct gateway_peers *peers = user;
  struct gateway *gateway = peers->gateway;
  struct kvstore *store = gateway->store;
  char value[MEMBER_VALUE_SIZE];
  const struct kvstore_item put
      = { .key = peers->key,
          .value = value,
          .value_size = (size_t)snprintf (value, sizeof value, "%s %s %u",
                                          peernet_address (peers->net),
                                          gateway->settings.availability_zone,
                                          gateway->settings.cpu_permille) };
  const struct kvstore_txn txn
      = { .puts = &put, .put_count = 1, .lease = lease };

  peers->lease = lease;
  peers->lease_era = store->era;
  peers->membership = MEMBERSHIP_WRITING;
  if (error == 0)
    error = store->ops->txn (store, &txn, on_entry_written, peers);
  if (error != 0)
    {
      peers->membership = MEMBERSHIP_NONE;
      schedule_membership (peers, RETRY_MS);
    }
}

static void
on_entry_written (void *user, int error, uint64_t index)
{
  struct gateway_peers *peers = user;

  (void)index;
  peers->membership = error == 0 ? MEMBERSHIP_HELD : MEMBERSHIP_NONE;
  if (error == 0)
    peers->renewed_ns = peers->renewal_start_ns;
  schedule_membership (peers, error == 0 ? LEASE_RENEW_MS : RETRY_MS);
}

static void
on_lease_renewed (void *user, int error, uint64_t index)
{
  struct gateway_peers *peers = user;

  (void)index;
  /* A restored store may have granted the number of this lease again. */
  if (error == 0
      && digits_compare (&peers->lease_era, &peers->gateway->store->era) != 0)
    error = ERR_NOT_FOUND;
  if (error == ERR_NOT_FOUND)
    peers->membership = MEMBERSHIP_NONE;
  if (error == 0)
    peers->renewed_ns = peers->renewal_start_ns;
  schedule_membership (peers, error == 0 ? LEASE_RENEW_MS : RETRY_MS);
}

bool
gateway_peers_renew_lease (const struct gateway *gateway)
{
  struct gateway_peers *peers = gateway->peers;

  if (peers == NULL || peers->membership != MEMBERSHIP_HELD)
    return false;
  /* After a failure it is renewed in its own time. */
  if (peers->renewed_ns == peers->renewal_start_ns
      && event_pending (peers->membership_timer, EV_TIMEOUT, NULL))
    schedule_membership (peers, 0);
  return true;
}

uint64_t
gateway_peers_renewed_ns (const struct gateway *gateway)
{
  return gateway->peers == NULL ? 0 : gateway->peers->renewed_ns;
}

/* All entries. */

void
gateway_peers_listing_begin (struct gateway_peers *peers)
{
  struct gateway_peers_member *member;

  for (member = peers->members; member != NULL; member = member->hh.next)
    member->seen = false;
}

void
gateway_peers_listing_end (struct gateway_peers *peers)
{
  end_listing (peers, false);
  peers->members_listed = true;
}

static void
end_listing (struct gateway_peers *peers, bool keep_missing)
{
  struct gateway_peers_member *member;
  struct gateway_peers_member *next;

  for (member = peers->members; member != NULL; member = next)
    {
      next = member->hh.next;
      if (!member->seen)
        drop_member (peers, member, keep_missing);
    }
  peers->members_changed = true;
  /* Now that it knows the hubs, it gives them time before it watches the
     store itself. */
  if (!peers->zone_listed)
    peers->hub_expected_ns = gateway_now_ns (peers->gateway);
  peers->zone_listed = true;
}

static bool
missing_members_kept (const struct gateway_peers *peers)
{
  return gateway_now_ns (peers->gateway) < peers->members_kept_until_ns;
}

static void
drop_member (struct gateway_peers *peers, struct gateway_peers_member *member,
             bool keep_missing)
{
  if (keep_missing)
    member->missing = true;
  else
    remove_member (peers, member);
}

void
gateway_peers_expire_members (struct gateway_peers *peers)
{
  struct gateway_peers_member *member;
  struct gateway_peers_member *next;

  if (peers->members_kept_until_ns == 0 || missing_members_kept (peers))
    return;
  peers->members_kept_until_ns = 0;
  for (member = peers->members; member != NULL; member = next)
    {
      next = member->hh.next;
      if (member->missing)
        remove_member (peers, member);
    }
}

static void
remove_member (struct gateway_peers *peers,
               struct gateway_peers_member *member)
{
  const struct kvstore_item deleted = { .key = member->key };

  gateway_peers_publish_item (peers->gateway, &deleted, true);
  set_dialing (peers, member, false);
  /* False positive: the analyzer assumes that the list head of a later call is
     the entry freed here. */
  /* NOLINTBEGIN(clang-analyzer-*) */
  HASH_DEL (peers->members, member);
  /* NOLINTEND(clang-analyzer-*) */
  free (member);
  peers->members_changed = true;
}

/* The value of an entry is "ADDRESS ZONE CAPACITY"; the capacity is the CPU
   limit of the instance in thousandths of a core.  Ends the address and the
   zone with a NUL byte in place of the space.
   @return 0 or ERR_INVALID. */
static int
parse_member (char *value, const char **zone, uint32_t *capacity)
{
  struct sock_address address;
  char *zone_text = strchr (value, ' ');
  char *number = zone_text == NULL ? NULL : strchr (zone_text + 1, ' ');
  unsigned long long parsed;
  char *end;

  if (number == NULL || number == zone_text + 1 || number[1] < '0'
      || number[1] > '9' || zone_text - value >= GATEWAY_ADDRESS_SIZE)
    return ERR_INVALID;
  *zone_text = *number = '\0';
  parsed = strtoull (number + 1, &end, 10);
  if (*end != '\0' || parsed > UINT32_MAX || sock_parse (value, &address) != 0
      || sock_port (&address) == 0)
    return ERR_INVALID;
  *zone = zone_text + 1;
  *capacity = (uint32_t)parsed;
  return 0;
}

/* @return 1 for a new or changed entry, 0 for a known one, or an error. */
static int
put_member (struct gateway_peers *peers, const struct kvstore_item *item)
{
  const char *prefix = peers->gateway->adapter->gateway_prefix;
  struct gateway_peers_member *member;
  char value[MEMBER_VALUE_SIZE];
  const char *name;
  const char *zone;
  uint32_t capacity;
  int changed = 0;

  if (item->value_size >= sizeof value
      || strncmp (item->key, prefix, strlen (prefix)) != 0
      || strlen (item->key) >= sizeof member->key)
    return ERR_INVALID;
  name = strrchr (item->key, '/');
  name = name == NULL ? item->key : name + 1;
  if (*name == '\0')
    return ERR_INVALID;
  memcpy (value, item->value, item->value_size);
  value[item->value_size] = '\0';
  if (parse_member (value, &zone, &capacity) != 0)
    return ERR_INVALID;
  HASH_FIND_STR (peers->members, item->key, member);
  if (member != NULL && strcmp (member->address, value) != 0)
    {
      remove_member (peers, member);
      member = NULL;
    }
  if (member == NULL)
    {
      member = calloc (1, sizeof *member);
      if (member == NULL)
        return ERR_NO_MEMORY;
      memcpy (member->key, item->key, strlen (item->key) + 1);
      memcpy (member->address, value, strlen (value) + 1);
      member->id = catalog_id (name);
      member->zone_id = catalog_id (zone);
      member->capacity = capacity;
      HASH_ADD_STR (peers->members, key, member);
      changed = 1;
      peers->members_changed = true;
    }
  member->seen = true;
  member->missing = false;
  return changed;
}

void
gateway_peers_apply_member (struct gateway_peers *peers,
                            const struct kvstore_item *item)
{
  apply_member (peers, item, false);
}

static void
apply_member (struct gateway_peers *peers, const struct kvstore_item *item,
              bool keep_missing)
{
  struct gateway_peers_member *member;
  int error;

  if (gateway_quarantine_owns_key (peers->gateway, item->key))
    {
      gateway_quarantine_apply_item (peers->gateway, item);
      return;
    }
  if (gateway_stream_store_owns_key (peers->gateway, item->key))
    {
      gateway_stream_store_apply_item (peers->gateway, item);
      return;
    }
  if (item->value == NULL)
    {
      HASH_FIND_STR (peers->members, item->key, member);
      if (member != NULL)
        drop_member (peers, member, keep_missing);
      return;
    }
  error = put_member (peers, item);
  if (error < 0)
    {
      peers->gateway->counters.entries_rejected++;
      LOG (LOG_PEER_REJECTED, NULL, LOG_S ("member", item->key),
           LOG_S ("error", err_name (error)));
    }
  else
    gateway_peers_publish_item (peers->gateway, item, error > 0);
}

static void
on_item (void *user, const struct kvstore_item *item)
{
  apply_member (user, item, missing_members_kept (user));
}

static void
on_listing_begin (void *user)
{
  gateway_peers_listing_begin (user);
}

static void
on_listing_end (void *user, const struct store_position *position)
{
  struct gateway_peers *peers = user;
  bool zone_only = peers->member_watch.config.prefix == peers->zone_prefix;

  (void)position;
  /* With more members than a full mesh has, the fleet has hubs: those of this
     availability zone are listed now, and send the other members. */
  if (zone_only && HASH_COUNT (peers->members) <= HUBS_MESH_MAX)
    {
      list_all_members (peers);
      return;
    }
  end_listing (peers, missing_members_kept (peers));
  peers->members_listed = peers->members_listed || !zone_only;
  /* Before the next call: most instances need none. */
  gateway_peers_assign_hubs (peers);
}

static void
list_all_members (struct gateway_peers *peers)
{
  store_watch_set_prefix (&peers->member_watch,
                          peers->gateway->adapter->gateway_prefix);
}

static void
on_failed (void *user, int error)
{
  (void)user;
  LOG (log_store_message (error), NULL, LOG_S ("for", "members"),
       LOG_S ("error", err_name (error)));
}

static void
on_recovered (void *user, uint64_t outage_ns)
{
  keep_missing_members (user);
  LOG (LOG_STORE_RECOVERED, NULL, LOG_S ("for", "members"),
       LOG_U ("outage_ms", outage_ns / CLOCK_NS_PER_MS));
}

static void
on_restored (void *user, const struct store_position *lost)
{
  (void)lost;
  keep_missing_members (user);
}

static void
keep_missing_members (struct gateway_peers *peers)
{
  peers->members_kept_until_ns = gateway_now_ns (peers->gateway)
                                 + MISSING_MEMBER_KEPT_MS * CLOCK_NS_PER_MS;
}

/* Hubs. */

void
gateway_peers_assign_hubs (struct gateway_peers *peers)
{
  size_t count = 0;
  /* False positive, as in remove_member(). */
  struct hubs_member *members
      = calloc (HASH_COUNT (peers->members) + 1, /* NOLINT */
                sizeof *members);
  struct gateway_peers_member *member;
  bool self_listed = false;
  size_t i;

  if (members == NULL)
    return;
  peers->members_changed = false;
  for (member = peers->members; member != NULL; member = member->hh.next)
    {
      members[count++] = (struct hubs_member){ .id = member->id,
                                               .zone_id = member->zone_id,
                                               .capacity = member->capacity };
      self_listed = self_listed || member->id == peers->self_id;
    }
  if (!self_listed)
    members[count++] = (struct hubs_member){
      .id = peers->self_id,
      .zone_id = peers->zone_id,
      .capacity = peers->gateway->settings.cpu_permille,
    };
  hubs_assign (members, count);
  for (i = 0; i < count; i++)
    if (members[i].id == peers->self_id)
      peers->hub = members[i].hub;
  for (member = peers->members; member != NULL; member = member->hh.next)
    {
      for (i = 0; i < count && members[i].id != member->id; i++)
        continue;
      member->hub = i < count && members[i].hub;
      set_dialing (peers, member,
                   member->id != peers->self_id && member->hub
                       && (peers->hub || member->zone_id == peers->zone_id));
    }
  free (members);
  gateway_peers_update_subscriptions (peers);
  if (peers->hub)
    gateway_peers_watch_members (peers);
  else if (peers->zone_listed && peers->gateway->config_watch.paused)
    store_watch_pause (&peers->member_watch);
}

void
gateway_peers_watch_members (struct gateway_peers *peers)
{
  if (peers->member_watch.config.prefix == peers->zone_prefix)
    list_all_members (peers);
  store_watch_resume (&peers->member_watch);
}

static void
set_dialing (struct gateway_peers *peers, struct gateway_peers_member *member,
             bool dialing)
{
  int error = 0;

  if (member->dialing == dialing)
    return;
  member->dialing = dialing;
  if (dialing)
    error = peernet_add_address (peers->net, member->address, true);
  else
    peernet_remove_address (peers->net, member->address);
  if (error != 0)
    LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", member->address),
         LOG_S ("error", err_name (error)));
}
