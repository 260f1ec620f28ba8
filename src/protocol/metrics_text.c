/**
 * @file metrics_text.c
 * Writes metrics in the Prometheus text format.
 */
#include "protocol/metrics_text.h"
#include "state/err.h"
#include <inttypes.h>
#include <sys/resource.h>
#include <unistd.h>

#define DEMANDS_MAX 4096 /**< maximum (customer, service) pairs written */
#define LABEL_SIZE                                                            \
  128 /**< bytes; fits a name with every character escaped                    \
       */
#define US_PER_S 1e6
#define NS_PER_S 1e9

/** Escaped label values of a (customer, service) pair. */
struct labels
{
  char customer[LABEL_SIZE];
  char service[LABEL_SIZE];
};

static void write_header (FILE *out, const char *name, const char *type,
                          const char *help);
static void escape_label (char *out, const char *text);
static void customer_label (const struct catalog *catalog, uint64_t id,
                            char out[LABEL_SIZE]);
static void service_label (const struct catalog *catalog, uint64_t id,
                           char out[LABEL_SIZE]);
static void pair_labels (const struct catalog *catalog, uint64_t customer_id,
                         uint64_t service_id, struct labels *labels);
static void write_requests (const struct metrics_text_source *source,
                            FILE *out);
static void write_attempts (const struct metrics_text_source *source,
                            FILE *out);
static void write_refusals (const struct metrics_text_source *source,
                            FILE *out);
static void write_histograms (const struct metrics_text_source *source,
                              FILE *out, const char *name, const char *help,
                              size_t offset);
static void write_cost (const struct metrics_text_source *source, FILE *out);
static void write_demand (const struct metrics_text_source *source, FILE *out);
static void write_slots (const struct metrics_text_source *source, FILE *out);
static void write_members (const struct metrics_text_source *source,
                           FILE *out);
static void write_control_traffic (const struct metrics_text_source *source,
                                   FILE *out);
static void write_client_memory (const struct memory_account *memory,
                                 FILE *out);
static void write_process (FILE *out);

int
metrics_text_write (const struct metrics_text_source *source, FILE *out)
{
  write_requests (source, out);
  write_attempts (source, out);
  write_refusals (source, out);
  write_histograms (source, out, "cherrylanding_wait_seconds",
                    "Time from arrival to the first attempt.",
                    offsetof (struct metrics_service, wait));
  write_histograms (
      source, out, "cherrylanding_first_response_seconds",
      "Time from arrival to the first byte of the response body.",
      offsetof (struct metrics_service, first_response));
  write_histograms (source, out, "cherrylanding_request_seconds",
                    "Time from arrival to the end of the response.",
                    offsetof (struct metrics_service, total));
  if (source->ledger != NULL)
    write_cost (source, out);
  if (source->dispatch != NULL)
    write_demand (source, out);
  if (source->slots != NULL)
    write_slots (source, out);
  if (source->members != NULL)
    write_members (source, out);
  write_control_traffic (source, out);
  write_client_memory (source->memory, out);
  write_process (out);
  return ferror (out) ? ERR_IO : 0;
}

static void
write_header (FILE *out, const char *name, const char *type, const char *help)
{
  fprintf (out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static void
escape_label (char *out, const char *text)
{
  for (; *text != '\0'; text++)
    {
      if (*text == '\\' || *text == '"' || *text == '\n')
        *out++ = '\\';
      *out++ = *text;
    }
  *out = '\0';
}

/** Uses the identifier for an object that is no longer configured. */
static void
customer_label (const struct catalog *catalog, uint64_t id,
                char out[LABEL_SIZE])
{
  const struct catalog_customer *customer = catalog_customer (catalog, id);

  if (customer != NULL)
    escape_label (out, customer->name);
  else
    snprintf (out, LABEL_SIZE, "%016" PRIx64, id);
}

static void
service_label (const struct catalog *catalog, uint64_t id,
               char out[LABEL_SIZE])
{
  const struct catalog_service *service = catalog_service (catalog, id);

  if (service != NULL)
    escape_label (out, service->name);
  else
    snprintf (out, LABEL_SIZE, "%016" PRIx64, id);
}

static void
pair_labels (const struct catalog *catalog, uint64_t customer_id,
             uint64_t service_id, struct labels *labels)
{
  customer_label (catalog, customer_id, labels->customer);
  service_label (catalog, service_id, labels->service);
}

static void
write_requests (const struct metrics_text_source *source, FILE *out)
{
  const struct metrics_customer_service *counts;
  struct labels labels;
  int outcome;

  write_header (out, "cherrylanding_requests_total", "counter",
                "Requests by the way they ended.");
  for (counts = source->metrics->customer_services; counts != NULL;
       counts = counts->hh.next)
    {
      pair_labels (source->catalog, counts->customer_id, counts->service_id,
                   &labels);
      for (outcome = 0; outcome < METRICS_OUTCOME_MAX; outcome++)
        fprintf (out,
                 "cherrylanding_requests_total{customer=\"%s\",service=\"%s\""
                 ",outcome=\"%s\"} %" PRIu64 "\n",
                 labels.customer, labels.service,
                 metrics_outcome_name (outcome), counts->outcomes[outcome]);
    }
}

static void
write_attempts (const struct metrics_text_source *source, FILE *out)
{
  static const struct
  {
    const char *name;
    const char *help;
    size_t offset;
  } counters[] = {
    { "cherrylanding_accepted_total", "Requests queued or dispatched.",
      offsetof (struct metrics_customer_service, accepted) },
    { "cherrylanding_attempts_total", "Attempts, retries included.",
      offsetof (struct metrics_customer_service, attempts) },
    { "cherrylanding_retries_total", "Attempts after a request's first.",
      offsetof (struct metrics_customer_service, retries) },
    { "cherrylanding_response_bytes_total", "Response body bytes.",
      offsetof (struct metrics_customer_service, response_bytes) },
    { "cherrylanding_output_units_total", "Output tokens.",
      offsetof (struct metrics_customer_service, output_tokens) },
  };
  const struct metrics_customer_service *counts;
  struct labels labels;
  size_t i;

  for (i = 0; i < sizeof counters / sizeof counters[0]; i++)
    {
      write_header (out, counters[i].name, "counter", counters[i].help);
      for (counts = source->metrics->customer_services; counts != NULL;
           counts = counts->hh.next)
        {
          pair_labels (source->catalog, counts->customer_id,
                       counts->service_id, &labels);
          fprintf (
              out, "%s{customer=\"%s\",service=\"%s\"} %" PRIu64 "\n",
              counters[i].name, labels.customer, labels.service,
              *(const uint64_t *)((const char *)counts + counters[i].offset));
        }
    }
}

static void
write_refusals (const struct metrics_text_source *source, FILE *out)
{
  int refusal;

  write_header (out, "cherrylanding_refusals_total", "counter",
                "Responses made by the router itself, by reason.");
  for (refusal = REFUSAL_NONE + 1; refusal < REFUSAL_MAX; refusal++)
    fprintf (out, "cherrylanding_refusals_total{reason=\"%s\"} %" PRIu64 "\n",
             refusal_info ((enum refusal)refusal)->code,
             source->metrics->refused[refusal]);
}

/** @param offset of the histogram in struct metrics_service. */
static void
write_histograms (const struct metrics_text_source *source, FILE *out,
                  const char *name, const char *help, size_t offset)
{
  const struct metrics_service *service;
  const struct hist *hist;
  char label[LABEL_SIZE];
  uint64_t sum;
  size_t i;

  write_header (out, name, "histogram", help);
  for (service = source->metrics->services; service != NULL;
       service = service->hh.next)
    {
      hist = (const struct hist *)((const char *)service + offset);
      service_label (source->catalog, service->service_id, label);
      sum = 0;
      for (i = 0; i + 1 < HIST_BUCKETS; i++)
        {
          sum += hist->buckets[i];
          fprintf (out, "%s_bucket{service=\"%s\",le=\"%g\"} %" PRIu64 "\n",
                   name, label, (double)hist_bound_us (i) / US_PER_S, sum);
        }
      fprintf (out,
               "%s_bucket{service=\"%s\",le=\"+Inf\"} %" PRIu64 "\n"
               "%s_sum{service=\"%s\"} %.6f\n"
               "%s_count{service=\"%s\"} %" PRIu64 "\n",
               name, label, hist->count, name, label,
               (double)hist->sum_us / US_PER_S, name, label, hist->count);
    }
}

struct cost_writer
{
  const struct metrics_text_source *source;
  FILE *out;
};

static int
write_cost_entry (void *user, struct ledger_origin origin,
                  const struct ledger_entry *entry)
{
  const struct cost_writer *writer = user;
  struct labels labels;

  if (origin.instance_id != writer->source->self.instance_id
      || origin.incarnation != writer->source->self.incarnation)
    return 0;
  pair_labels (writer->source->catalog, entry->customer_id, entry->service_id,
               &labels);
  fprintf (writer->out,
           "cherrylanding_service_cost_units_total{customer=\"%s\""
           ",service=\"%s\"} %" PRIu64 "\n",
           labels.customer, labels.service, entry->cost);
  return 0;
}

static void
write_cost (const struct metrics_text_source *source, FILE *out)
{
  struct cost_writer writer = { source, out };

  write_header (out, "cherrylanding_service_cost_units_total", "counter",
                "Service received through this instance, in cost units.");
  ledger_visit (source->ledger, write_cost_entry, &writer);
  write_header (out, "cherrylanding_ledger_bytes", "gauge",
                "Memory of accounts.");
  fprintf (out, "cherrylanding_ledger_bytes %zu\n",
           ledger_memory_bytes (source->ledger));
}

static void
write_demand (const struct metrics_text_source *source, FILE *out)
{
  static struct dispatch_demand demands[DEMANDS_MAX];
  size_t count
      = dispatch_list_demands (source->dispatch, demands, DEMANDS_MAX);
  struct labels labels;
  size_t i;

  write_header (out, "cherrylanding_requests_waiting", "gauge",
                "Requests that wait here for a slot.");
  for (i = 0; i < count; i++)
    {
      pair_labels (source->catalog, demands[i].customer_id,
                   demands[i].service_id, &labels);
      fprintf (out,
               "cherrylanding_requests_waiting{customer=\"%s\",service=\"%s\""
               "} %" PRIu32 "\n",
               labels.customer, labels.service, demands[i].waiting);
    }
  write_header (out, "cherrylanding_requests_running", "gauge",
                "Requests from here at an upstream.");
  for (i = 0; i < count; i++)
    {
      pair_labels (source->catalog, demands[i].customer_id,
                   demands[i].service_id, &labels);
      fprintf (out,
               "cherrylanding_requests_running{customer=\"%s\",service=\"%s\""
               "} %" PRIu32 "\n",
               labels.customer, labels.service, demands[i].running);
    }
}

static void
write_slots (const struct metrics_text_source *source, FILE *out)
{
  const struct catalog_service *service;
  const struct slots_entry *entry;
  char label[LABEL_SIZE];
  uint64_t capacity;
  uint64_t busy;

  write_header (out, "cherrylanding_slots", "gauge",
                "Slots leased to this instance, and those in use.");
  for (service = source->catalog->services; service != NULL;
       service = service->hh.next)
    {
      capacity = 0;
      busy = 0;
      for (entry = source->slots->entries; entry != NULL;
           entry = entry->hh.next)
        if (entry->service_id == service->id)
          {
            capacity += entry->capacity;
            busy += entry->busy;
          }
      escape_label (label, service->name);
      fprintf (out,
               "cherrylanding_slots{service=\"%s\",state=\"leased\"} %" PRIu64
               "\ncherrylanding_slots{service=\"%s\",state=\"busy\"} %" PRIu64
               "\n",
               label, capacity, label, busy);
    }
}

static void
write_members (const struct metrics_text_source *source, FILE *out)
{
  static const char *const names[MEMBER_STATUS_MAX] = {
    [MEMBER_ALIVE] = "alive",
    [MEMBER_SUSPECT] = "suspect",
    [MEMBER_GONE] = "gone",
  };
  uint64_t counts[MEMBER_STATUS_MAX] = { 0 };
  const struct member *member;
  size_t i;

  for (member = source->members->members; member != NULL;
       member = member->hh.next)
    counts[member->status]++;
  write_header (out, "cherrylanding_members", "gauge",
                "Instances of the fleet as seen here.");
  for (i = 0; i < MEMBER_STATUS_MAX; i++)
    fprintf (out, "cherrylanding_members{status=\"%s\"} %" PRIu64 "\n",
             names[i], counts[i]);
}

static void
write_control_traffic (const struct metrics_text_source *source, FILE *out)
{
  const struct metrics_traffic *traffic = source->traffic;
  size_t i;

  write_header (out, "cherrylanding_control_messages_total", "counter",
                "Messages between instances.");
  for (i = 0; i < source->traffic_count; i++)
    fprintf (out,
             "cherrylanding_control_messages_total{kind=\"%s\",direction="
             "\"in\"} %" PRIu64 "\n"
             "cherrylanding_control_messages_total{kind=\"%s\",direction="
             "\"out\"} %" PRIu64 "\n",
             traffic[i].kind, traffic[i].messages_in, traffic[i].kind,
             traffic[i].messages_out);
  write_header (out, "cherrylanding_control_bytes_total", "counter",
                "Bytes of frames between instances.");
  for (i = 0; i < source->traffic_count; i++)
    fprintf (out,
             "cherrylanding_control_bytes_total{kind=\"%s\",direction=\"in\"}"
             " %" PRIu64 "\n"
             "cherrylanding_control_bytes_total{kind=\"%s\",direction=\"out\""
             "} %" PRIu64 "\n",
             traffic[i].kind, traffic[i].bytes_in, traffic[i].kind,
             traffic[i].bytes_out);
  write_header (out, "cherrylanding_control_cpu_seconds_total", "counter",
                "Processor time spent on messages between instances.");
  fprintf (out, "cherrylanding_control_cpu_seconds_total %.6f\n",
           (double)source->control_cpu_ns / NS_PER_S);
  write_header (out, "cherrylanding_peer_links", "gauge", "Peers connected.");
  fprintf (out, "cherrylanding_peer_links %" PRIu64 "\n", source->links);
}

static void
write_client_memory (const struct memory_account *memory, FILE *out)
{
  if (memory == NULL)
    return;
  write_header (out, "cherrylanding_client_memory_bytes", "gauge",
                "What clients make the instance hold.");
  fprintf (out, "cherrylanding_client_memory_bytes %" PRIu64 "\n",
           memory->held_bytes);
  write_header (out, "cherrylanding_client_memory_limit_bytes", "gauge",
                "What clients may make the instance hold.");
  fprintf (out, "cherrylanding_client_memory_limit_bytes %" PRIu64 "\n",
           memory->limit_bytes);
}

static void
write_process (FILE *out)
{
  struct rusage usage = { 0 };
  unsigned long pages_total = 0;
  unsigned long pages = 0;
  FILE *statm = fopen ("/proc/self/statm", "re");

  getrusage (RUSAGE_SELF, &usage);
  write_header (out, "process_cpu_seconds_total", "counter",
                "Processor time of the process.");
  fprintf (out, "process_cpu_seconds_total %.6f\n",
           (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
               + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec)
                     / US_PER_S);
  if (statm == NULL)
    return;
  if (fscanf (statm, "%lu %lu", &pages_total, &pages) == 2)
    {
      write_header (out, "process_resident_memory_bytes", "gauge",
                    "Resident memory of the process.");
      fprintf (out, "process_resident_memory_bytes %lu\n",
               pages * (unsigned long)sysconf (_SC_PAGESIZE));
    }
  fclose (statm);
}
