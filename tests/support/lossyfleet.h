/**
 * @file lossyfleet.h
 * Simulates a fleet of instances over lossy links, on a manual clock.  Every
 * message is encoded as a frame, which may be delayed, repeated or lost; a
 * seeded random generator decides.  Requests run for a fixed time at upstreams
 * that accept any number of them.
 */
#ifndef TESTS_SUPPORT_LOSSYFLEET_H
#define TESTS_SUPPORT_LOSSYFLEET_H

#include "coordination/fleet.h"
#include "protocol/peercodec.h"
#include <stdbool.h>
#include <stdint.h>

#define LOSSYFLEET_INSTANCES    3
#define LOSSYFLEET_UPSTREAMS    3
#define LOSSYFLEET_SLOTS        4   /**< of each upstream */
#define LOSSYFLEET_INTERVAL_MS  100 /**< between exchanges */
#define LOSSYFLEET_LEASE_MS     1000
#define LOSSYFLEET_REQUESTS_MAX 4096 /**< most requests running at once */
#define LOSSYFLEET_FRAMES_MAX   8192 /**< most frames in flight at once */
#define LOSSYFLEET_NS_PER_MS    1000000ULL /**< nanoseconds in a millisecond */

struct lossyfleet_instance
{
  struct lossyfleet *sim;
  uint32_t number;
  char name[CATALOG_NAME_SIZE];
  uint64_t incarnation;
  struct catalog catalog;
  struct slots slots;
  struct ledger *ledger;
  struct dispatch *dispatch;
  struct fleet *fleet; /**< NULL while the instance is stopped */
  uint32_t completed;
};

struct lossyfleet_request
{
  uint32_t instance;
  uint64_t upstream_id;
  uint64_t id;
  uint32_t attempt;
  uint64_t end_ms;
};

struct lossyfleet_frame
{
  uint32_t from;
  uint32_t to;
  uint64_t due_ms;
  struct peercodec_buffer buffer;
};

struct lossyfleet
{
  struct lossyfleet_instance instances[LOSSYFLEET_INSTANCES];
  struct lossyfleet_request requests[LOSSYFLEET_REQUESTS_MAX];
  uint32_t request_count;
  struct lossyfleet_frame frames[LOSSYFLEET_FRAMES_MAX];
  uint32_t frame_count;
  bool cut[LOSSYFLEET_INSTANCES][LOSSYFLEET_INSTANCES]; /**< [from][to] */
  uint32_t delay_ms_max; /**< largest delay of a frame; at least 1 */
  uint32_t loss_percent;
  uint32_t repeat_percent;
  uint32_t service_ms; /**< duration of a request */
  /** Number of clients, by instance and customer; each keeps one request open.
   */
  uint32_t client_counts[LOSSYFLEET_INSTANCES][2];
  uint64_t next_request;
  uint64_t now_ms;
  uint32_t seed;
  uint32_t
      oversubscribed; /**< most requests beyond the slots of an upstream */
};

/** Starts all instances and connects them to each other. */
void lossyfleet_init (struct lossyfleet *sim, uint32_t seed);
void lossyfleet_finish (struct lossyfleet *sim);
void lossyfleet_run_ms (struct lossyfleet *sim, uint32_t duration_ms);
/** Stops an instance at once, with its requests in flight. */
void lossyfleet_kill (struct lossyfleet *sim, uint32_t instance);
/** Starts an instance without earlier state, as a new incarnation. */
void lossyfleet_start (struct lossyfleet *sim, uint32_t instance);
/** Removes the clients of an instance and lets it drain. */
void lossyfleet_drain (struct lossyfleet *sim, uint32_t instance);
/** Connects two instances again. */
void lossyfleet_connect (struct lossyfleet *sim, uint32_t a, uint32_t b);
/** Cuts or restores both directions of the links between an instance and all
    others. */
void lossyfleet_set_isolated (struct lossyfleet *sim, uint32_t instance,
                              bool cut);

/** Requests in flight of an instance. */
uint32_t lossyfleet_busy (const struct lossyfleet *sim, uint32_t instance);
/** Slots that an instance may use now. */
uint32_t lossyfleet_capacity (const struct lossyfleet *sim, uint32_t instance);
/** Ledger position of a customer (0 or 1) at an instance. */
uint64_t lossyfleet_position (const struct lossyfleet *sim, uint32_t instance,
                              uint32_t customer);

#endif
