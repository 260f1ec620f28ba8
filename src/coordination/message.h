/**
 * @file message.h
 * Messages between instances, as plain typed structures.  The wire form is in
 * proto/peer.proto; protocol/peercodec translates.  Arrays are owned by the
 * message; message_finish releases them.
 */
#ifndef COORDINATION_MESSAGE_H
#define COORDINATION_MESSAGE_H

#include "state/catalog.h"
#include "state/ledger.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MESSAGE_VERSION    1       /**< protocol version in the hello */
#define MESSAGE_FRAME_MAX  4194304 /**< bytes of one frame */
#define MESSAGE_KEY_SIZE   160     /**< bytes of "kind/NAME" with its NUL */
#define MESSAGE_NONCE_SIZE 32      /**< bytes */
#define MESSAGE_PROOF_SIZE 32      /**< bytes of an HMAC-SHA-256 */

enum message_kind
{
  MESSAGE_HELLO, /**< first frame of each side */
  MESSAGE_PROOF, /**< HMAC over both nonces */
  MESSAGE_HEARTBEAT,
  MESSAGE_ACCOUNTS, /**< counters of one origin */
  MESSAGE_GRANT,    /**< lessor to lessee */
  MESSAGE_HOLD,     /**< lessee to lessor */
  MESSAGE_CONFIG_REQUEST,
  MESSAGE_CONFIG,
  MESSAGE_ADDRESSES, /**< of other instances, for who joins */
  MESSAGE_LOAD,      /**< what a gateway has in flight */
  MESSAGE_KIND_MAX
};

enum message_state
{
  MESSAGE_STARTING,
  MESSAGE_LIVE,
  MESSAGE_DRAINING,
  MESSAGE_STATE_MAX
};

struct message_hello
{
  uint32_t version;
  char fleet[CATALOG_NAME_SIZE];
  char instance[CATALOG_NAME_SIZE];
  char availability_zone[CATALOG_NAME_SIZE];
  char address[CATALOG_ADDRESS_SIZE]; /**< where it accepts peers */
  uint64_t incarnation;
  uint8_t nonce[MESSAGE_NONCE_SIZE];
};

/** Demand of one (customer, service) at the sender. */
struct message_demand
{
  uint64_t customer_id;
  uint64_t service_id;
  uint32_t waiting;
  uint32_t running;
};

/** Changed demands only, unless `full`; then absent pairs are zero. */
struct message_heartbeat
{
  uint64_t sequence;
  enum message_state state;
  uint64_t config_index;
  bool full;
  size_t demand_count;
  struct message_demand *demands;
};

struct message_accounts
{
  struct ledger_origin origin;
  size_t entry_count;
  struct ledger_entry *entries;
};

/** What one lessor lets one lessee hold at one upstream. */
struct message_grant_item
{
  uint64_t upstream_id;
  uint64_t sequence; /**< increases per (lessor incarnation, upstream) */
  uint32_t slots;    /**< the lessee may hold at most this many */
};

/** With lease_ms 0 it grants nothing but asks what the lessee holds at the
    items' upstreams, whoever granted it; the answer is a hold. */
struct message_grant
{
  uint64_t lessor_incarnation;
  uint32_t lease_ms; /**< for every item this lessor granted */
  size_t item_count; /**< 0 renews what was granted before */
  struct message_grant_item *items;
  /** Newest of the lessee's heartbeats that the lessor had heard: the lease
      runs from when the lessee sent it.  0: from receipt. */
  uint64_t heartbeat_sequence;
};

/** What a lessee holds at one upstream. */
struct message_hold_item
{
  uint64_t upstream_id;
  uint64_t sequence; /**< of the newest grant that it has applied */
  uint32_t capacity; /**< slots it keeps; at least `busy` */
  uint32_t busy;
};

struct message_hold
{
  uint64_t lessor_incarnation; /**< that the sequences belong to */
  size_t item_count;
  struct message_hold_item *items;
};

struct message_config_request
{
  uint64_t since_index; /**< send objects with a greater index */
};

struct message_object
{
  char key[MESSAGE_KEY_SIZE]; /**< "customer/NAME" and so on */
  uint64_t index;             /**< modify index in the platform's store */
  bool deleted;               /**< tombstone */
  size_t value_size;          /**< bytes */
  char *value;                /**< JSON text; NULL for a tombstone */
};

struct message_config
{
  uint64_t newest_index; /**< known to the sender */
  bool complete;         /**< last part of the response */
  size_t object_count;
  struct message_object *objects;
};

/** Where some instances accept peers. */
struct message_addresses
{
  size_t count;
  char (*items)[CATALOG_ADDRESS_SIZE];
};

/** What one gateway says of an upstream or a customer. */
enum message_subject
{
  MESSAGE_SUBJECT_UPSTREAM, /**< running there; tokens yet to be read */
  MESSAGE_SUBJECT_CUSTOMER, /**< waiting; tokens it was given of late */
  MESSAGE_SUBJECT_WANTED,   /**< an upstream; tokens that wait for it */
  MESSAGE_SUBJECT_MAX
};

struct message_load_item
{
  uint64_t id;
  enum message_subject subject;
  uint32_t requests;
  uint64_t tokens;
};

/** Replaces what the sender said before; what is absent is zero. */
struct message_load
{
  uint64_t store_index; /**< that the sender's view of the store reaches to */
  uint32_t age_ms;      /**< since that view was confirmed */
  size_t item_count;
  struct message_load_item *items;
};

struct message
{
  enum message_kind kind;
  union
  {
    struct message_hello hello;
    uint8_t proof[MESSAGE_PROOF_SIZE];
    struct message_heartbeat heartbeat;
    struct message_accounts accounts;
    struct message_grant grant;
    struct message_hold hold;
    struct message_config_request config_request;
    struct message_config config;
    struct message_addresses addresses;
    struct message_load load;
  } u;
};

/** Releases the arrays of a message. */
void message_finish (struct message *message);

/** Log name of a kind. */
const char *message_kind_name (enum message_kind kind);

/** Where the coordination layer sends messages: a table that the transport,
    or a test, fills in.  The message stays the caller's. */
struct message_link
{
  int (*send) (void *user, uint64_t instance_id,
               const struct message *message);
  void *user;
};

#endif
