/**
 * @file fakefleet.h
 * Several instances' decision cores (dispatcher, ledger, slots, fleet) in one
 * process, joined by a fake message link under a paused clock.  Customers keep
 * a set number of requests outstanding; an upstream is a timer per request.
 */
#ifndef TESTS_SUPPORT_FAKEFLEET_H
#define TESTS_SUPPORT_FAKEFLEET_H

#include "coordination/fleet.h"
#include "state/rng.h"

#define FAKE_NODES_MAX     8
#define FAKE_CUSTOMERS_MAX 16
#define FAKE_UPSTREAMS_MAX 8
#define FAKE_INTERVAL_MS   100
#define FAKE_LEASE_MS      1000
#define FAKE_PAYBACK       10000000 /**< the default of the settings */
#define FAKE_INPUT_TOKENS  50
#define FAKE_TOKEN_COST    2 /**< cost units of an output token */
#define FAKE_JITTER        5 /**< a size varies by up to this part */

struct fake_customer
{
  uint32_t weight;
  uint32_t nodes;        /**< bit mask of instances that it uses */
  uint32_t outstanding;  /**< requests kept at each of them; 0 when idle */
  uint32_t tokens;       /**< output tokens, one a millisecond */
  uint32_t tokens_large; /**< of every second request; 0: like the others */
  uint32_t hint;         /**< cost units; 0: the true cost */
  uint32_t pulse_ms;     /**< busy and idle for so long by turns; 0: busy */
};

struct fake_config
{
  uint32_t node_count;
  uint32_t upstream_count;
  uint32_t slots; /**< of each upstream */
  uint32_t customer_count;
  const struct fake_customer *customers;
  const struct share_policy *policy;
  uint32_t loss_percent;   /**< messages lost */
  uint32_t repeat_percent; /**< messages delivered twice */
  uint32_t delay_ms;       /**< up to this much later than 1 ms */
  uint64_t seed;
};

struct fake_node
{
  struct fakefleet *world;
  uint32_t index;
  uint64_t id;
  uint64_t incarnation;
  struct ledger *ledger;
  struct slots slots;
  struct dispatch *dispatch;
  struct fleet *fleet;
  struct dispatch_actions actions;
  bool up;
  bool paused;
};

struct fakefleet
{
  struct fake_config config;
  struct fake_customer customers[FAKE_CUSTOMERS_MAX];
  struct catalog catalog;
  struct catalog_upstream upstreams[FAKE_UPSTREAMS_MAX];
  uint32_t slowness[FAKE_UPSTREAMS_MAX]; /**< milliseconds of a token */
  struct fake_node nodes[FAKE_NODES_MAX];
  bool cut[FAKE_NODES_MAX][FAKE_NODES_MAX]; /**< [from][to] */
  struct rng rng;
  uint64_t now_ns;
  uint32_t outstanding[FAKE_CUSTOMERS_MAX][FAKE_NODES_MAX];
  struct fake_request *requests; /**< by handle - 1 */
  size_t request_count;
  struct fake_job *jobs;
  size_t job_count;
  struct fake_packet *packets;
  size_t packet_count;
  uint64_t settled[FAKE_CUSTOMERS_MAX]; /**< cost units, since the start */
  /* Measured since fake_measure. */
  double service[FAKE_CUSTOMERS_MAX]; /**< cost units / weight */
  double low[FAKE_CUSTOMERS_MAX][FAKE_CUSTOMERS_MAX];
  double high[FAKE_CUSTOMERS_MAX][FAKE_CUSTOMERS_MAX];
  uint64_t served_ns[FAKE_CUSTOMERS_MAX]; /**< last start, or not waiting */
  uint64_t longest_wait_ns[FAKE_CUSTOMERS_MAX];
  uint64_t slot_ms; /**< while any request waited */
  uint64_t busy_ms;
  uint32_t oversubscribed; /**< most requests beyond an upstream's slots */
  uint32_t refused;
};

struct fakefleet *fake_new (const struct fake_config *config);
void fake_free (struct fakefleet *world);
void fake_run (struct fakefleet *world, uint32_t ms);
/** Starts measuring anew. */
void fake_measure (struct fakefleet *world);
/** Widest spread of the difference of two customers' normalised service. */
double fake_gap (const struct fakefleet *world);
double fake_utilisation (const struct fakefleet *world);

void fake_kill (struct fakefleet *world, uint32_t node);
void fake_start (struct fakefleet *world, uint32_t node);
/** Cuts or mends messages from one instance to another. */
void fake_cut (struct fakefleet *world, uint32_t from, uint32_t to, bool cut);
/** Puts the service as configured in `upstreams` in force. */
void fake_configure (struct fakefleet *world, uint32_t upstream_count);
/** Slots of an upstream that instances may use, or do. */
uint32_t fake_capacity (const struct fakefleet *world, uint32_t upstream);
/** Cost charged to a customer, as an instance's ledger has it. */
uint64_t fake_accounted (const struct fakefleet *world, uint32_t node,
                         uint32_t customer);
/** Slots in use by one instance. */
uint32_t fake_busy (const struct fakefleet *world, uint32_t node);

#endif
