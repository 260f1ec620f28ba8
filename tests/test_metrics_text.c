/**
 * @file test_metrics_text.c
 * Metrics of an instance in the Prometheus text format.
 */
#include "protocol/metrics_text.h"
#include "support/suite.h"
#include <stdlib.h>
#include <string.h>

struct fixture
{
  struct catalog catalog;
  struct metrics metrics;
  struct ledger *ledger;
  char *text;
};

static void
fixture_init (struct fixture *fixture)
{
  struct catalog_customer customer = { .name = "ana \"x\"", .weight = 1 };
  struct catalog_service service = { .name = "model" };

  memset (fixture, 0, sizeof *fixture);
  catalog_init (&fixture->catalog);
  CU_ASSERT_EQUAL (catalog_put_customer (&fixture->catalog, &customer), 0);
  CU_ASSERT_EQUAL (catalog_put_service (&fixture->catalog, &service), 0);
  fixture->ledger = ledger_new ((struct ledger_origin){ 1, 2 });
}

static void
write_text (struct fixture *fixture)
{
  const struct metrics_traffic traffic = { "heartbeat", 1, 2, 30, 40 };
  const struct metrics_text_source source = { .metrics = &fixture->metrics,
                                              .catalog = &fixture->catalog,
                                              .ledger = fixture->ledger,
                                              .self = { 1, 2 },
                                              .traffic = &traffic,
                                              .traffic_count = 1,
                                              .control_cpu_ns = 1500000000,
                                              .links = 6 };
  size_t size;
  FILE *out = open_memstream (&fixture->text, &size);

  CU_ASSERT_EQUAL (metrics_text_write (&source, out), 0);
  fclose (out);
}

static void
fixture_finish (struct fixture *fixture)
{
  free (fixture->text);
  ledger_free (fixture->ledger);
  metrics_finish (&fixture->metrics);
  catalog_finish (&fixture->catalog);
}

static void
assert_line (const struct fixture *fixture, const char *line)
{
  const char *at = strstr (fixture->text, line);

  if (at == NULL)
    printf ("missing: %s\n", line);
  CU_ASSERT (at != NULL && at[strlen (line)] == '\n');
}

static void
test_samples (void)
{
  const uint64_t ana = catalog_id ("ana \"x\"");
  const uint64_t model = catalog_id ("model");
  struct fixture fixture;
  struct ledger_entry foreign = {
    .customer_id = ana, .service_id = model, .charged = 5000, .cost = 999
  };

  fixture_init (&fixture);
  metrics_outcome (&fixture.metrics, ana, model, METRICS_ABORTED);
  metrics_outcome (&fixture.metrics, 255, model, METRICS_COMPLETED);
  metrics_refused (&fixture.metrics, REFUSAL_DEADLINE);
  hist_observe (&metrics_service (&fixture.metrics, model)->total, 2000000);
  ledger_charge (fixture.ledger, ana, model, 70, 1);
  ledger_settle (fixture.ledger, ana, model, 70);
  ledger_merge (fixture.ledger, (struct ledger_origin){ 8, 9 }, &foreign);
  write_text (&fixture);
  assert_line (&fixture, "cherrylanding_requests_total{customer=\"ana "
                         "\\\"x\\\"\",service=\"model\",outcome=\"aborted\"} "
                         "1");
  assert_line (&fixture,
               "cherrylanding_requests_total{customer=\"00000000000000ff\","
               "service=\"model\",outcome=\"completed\"} 1");
  /* Only the instance's own costs, not those merged from other instances. */
  assert_line (&fixture, "cherrylanding_service_cost_units_total{customer="
                         "\"ana \\\"x\\\"\",service=\"model\"} 70");
  assert_line (&fixture,
               "cherrylanding_request_seconds_bucket{service=\"model\",le="
               "\"1\"} 0");
  assert_line (&fixture,
               "cherrylanding_request_seconds_bucket{service=\"model\",le="
               "\"2.5\"} 1");
  assert_line (&fixture, "cherrylanding_request_seconds_sum{service="
                         "\"model\"} 2.000000");
  assert_line (&fixture, "cherrylanding_control_bytes_total{kind="
                         "\"heartbeat\",direction=\"out\"} 40");
  assert_line (&fixture, "cherrylanding_control_cpu_seconds_total 1.500000");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (fixture.text, "\nprocess_resident_memory_bytes "));
  fixture_finish (&fixture);
}

/* Each sample follows the TYPE line of its metric. */
static void
test_type_lines (void)
{
  struct fixture fixture;
  char *line;
  char *remaining;
  char name[128];

  fixture_init (&fixture);
  metrics_outcome (&fixture.metrics, 1, 2, METRICS_COMPLETED);
  write_text (&fixture);
  remaining = fixture.text;
  name[0] = '\0';
  while ((line = strsep (&remaining, "\n")) != NULL)
    {
      if (strncmp (line, "# TYPE ", 7) == 0)
        {
          CU_ASSERT_EQUAL (sscanf (line + 7, "%127s", name), 1);
        }
      else if (line[0] != '#' && line[0] != '\0')
        {
          CU_ASSERT_EQUAL (strncmp (line, name, strlen (name)), 0);
        }
    }
  fixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "samples", test_samples },
  { "TYPE lines", test_type_lines },
};

SUITE_MAIN ("test_metrics_text", tests)
