/**
 * @file fakefleet.h
 * Runs the dispatcher, ledger, slots and fleet of several instances in one
 * process, connected by simulated links, on a simulated clock.  Customers keep
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
#define FAKE_PAYBACK       10000000 /**< default of the settings */
#define FAKE_INPUT_TOKENS  50
#define FAKE_TOKEN_COST    2 /**< cost units of an output token */
#define FAKE_JITTER        5 /**< a size is reduced by up to 1 / FAKE_JITTER */

struct fake_customer
{
  uint32_t weight;
  uint32_t nodes;        /**< bit mask of the instances that it uses */
  uint32_t outstanding;  /**< requests kept open at each of them; 0: idle */
  uint32_t tokens;       /**< output tokens, one per ms by default */
  uint32_t tokens_large; /**< of every second request; 0: as `tokens` */
  uint32_t hint;         /**< cost hint in cost units; 0: the actual cost */
  /** Length of alternating busy and idle phases; 0: always busy. */
  uint32_t pulse_ms;
};

struct fake_config
{
  uint32_t node_count;
  uint32_t upstream_count;
  uint32_t slots; /**< of each upstream */
  uint32_t customer_count;
  const struct fake_customer *customers;
  const struct share_policy *policy;
  uint32_t loss_percent;   /**< part of the messages that is lost */
  uint32_t repeat_percent; /**< part that is delivered twice */
  uint32_t delay_ms;       /**< longest delay of a message beyond 1 ms */
  uint64_t seed;
};

struct fake_node
{
  struct fakefleet *sim;
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
  uint32_t slowness[FAKE_UPSTREAMS_MAX]; /**< milliseconds per token */
  struct fake_node nodes[FAKE_NODES_MAX];
  bool cut[FAKE_NODES_MAX][FAKE_NODES_MAX]; /**< [from][to] */
  struct rng rng;
  uint64_t now_ns;
  uint32_t outstanding[FAKE_CUSTOMERS_MAX][FAKE_NODES_MAX];
  struct fakefleet_request *requests; /**< indexed by handle - 1 */
  size_t request_count;
  struct fakefleet_attempt *attempts;
  size_t job_count;
  struct fakefleet_message *messages;
  size_t message_count;
  /** Cost units of completed requests, since the start. */
  uint64_t settled[FAKE_CUSTOMERS_MAX];
  /* Measured since the last call of fake_measure. */
  double service[FAKE_CUSTOMERS_MAX]; /**< cost units / weight */
  /** Smallest and largest difference of `service` between two customers. */
  double low[FAKE_CUSTOMERS_MAX][FAKE_CUSTOMERS_MAX];
  double high[FAKE_CUSTOMERS_MAX][FAKE_CUSTOMERS_MAX];
  /** Last time that a request started or none was waiting. */
  uint64_t last_service_ns[FAKE_CUSTOMERS_MAX];
  uint64_t longest_wait_ns[FAKE_CUSTOMERS_MAX];
  uint64_t available_slot_ms; /**< slots times ms while any request waited */
  uint64_t busy_slot_ms;      /**< the part of available_slot_ms in use */
  uint32_t oversubscribed;    /**< most requests beyond an upstream's slots */
  uint32_t refused;
};

struct fakefleet *fake_new (const struct fake_config *config);
void fake_free (struct fakefleet *sim);
void fake_run (struct fakefleet *sim, uint32_t ms);
/** Resets the measurements. */
void fake_measure (struct fakefleet *sim);
/** Largest change of the difference between the normalised service of two
    customers that are always busy. */
double fake_gap (const struct fakefleet *sim);
/** Part of the slots in use while any request waited; 1 when none did. */
double fake_utilisation (const struct fakefleet *sim);

void fake_kill (struct fakefleet *sim, uint32_t instance);
void fake_start (struct fakefleet *sim, uint32_t instance);
/** Cuts or restores the link from one instance to another. */
void fake_cut (struct fakefleet *sim, uint32_t from, uint32_t to, bool cut);
/** Applies the first `upstream_count` of `upstreams` as the configuration of
    the service. */
void fake_configure (struct fakefleet *sim, uint32_t upstream_count);
/** Slots of an upstream that instances may use or still use. */
uint32_t fake_capacity (const struct fakefleet *sim, uint32_t upstream);
/** Cost charged to a customer in the ledger of an instance. */
uint64_t fake_accounted (const struct fakefleet *sim, uint32_t instance,
                         uint32_t customer);
/** Slots in use by one instance. */
uint32_t fake_busy (const struct fakefleet *sim, uint32_t instance);

#endif
