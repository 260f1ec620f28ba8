/**
 * @file settings_source.c
 * Looks up lines of values in libyaml's document tree.
 */
#include "protocol/settings_source.h"
#include "state/err.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

struct settings_source
{
  yaml_document_t document;
};

static yaml_node_t *find_key (struct settings_source *source,
                              yaml_node_t *node, const char *key,
                              size_t length, uint32_t *line);
static yaml_node_t *find_index (struct settings_source *source,
                                yaml_node_t *node, unsigned long index,
                                uint32_t *line);

int
settings_source_parse (const char *text, size_t size,
                       struct settings_source **source, uint32_t *line,
                       char *reason, size_t reason_size)
{
  yaml_parser_t parser;
  struct settings_source *parsed = calloc (1, sizeof *parsed);
  int error = 0;

  if (parsed == NULL || !yaml_parser_initialize (&parser))
    {
      free (parsed);
      return ERR_NO_MEMORY;
    }
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, size);
  if (!yaml_parser_load (&parser, &parsed->document))
    {
      *line = (uint32_t)parser.problem_mark.line + 1;
      snprintf (reason, reason_size, "%s",
                parser.problem == NULL ? "not YAML" : parser.problem);
      error = ERR_INVALID;
      free (parsed);
    }
  else
    *source = parsed;
  yaml_parser_delete (&parser);
  return error;
}

void
settings_source_free (struct settings_source *source)
{
  if (source == NULL)
    return;
  yaml_document_delete (&source->document);
  free (source);
}

uint32_t
settings_source_line (struct settings_source *source, const char *path)
{
  yaml_node_t *node;
  uint32_t line = 1;

  if (source == NULL)
    return 0;
  node = yaml_document_get_root_node (&source->document);
  while (node != NULL && *path != '\0')
    {
      size_t length;
      char *end;

      if (*path == '[')
        {
          node
              = find_index (source, node, strtoul (path + 1, &end, 10), &line);
          path = *end == ']' ? end + 1 : end;
          continue;
        }
      path += *path == '.';
      length = strcspn (path, ".[");
      if (length == 0)
        break;
      node = find_key (source, node, path, length, &line);
      path += length;
    }
  return node == NULL ? 0 : line;
}

static yaml_node_t *
find_key (struct settings_source *source, yaml_node_t *node, const char *key,
          size_t length, uint32_t *line)
{
  yaml_node_pair_t *pair;

  if (node->type != YAML_MAPPING_NODE)
    return NULL;
  for (pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *name
          = yaml_document_get_node (&source->document, pair->key);

      if (name == NULL || name->type != YAML_SCALAR_NODE
          || name->data.scalar.length != length
          || memcmp (name->data.scalar.value, key, length) != 0)
        continue;
      *line = (uint32_t)name->start_mark.line + 1;
      return yaml_document_get_node (&source->document, pair->value);
    }
  return NULL;
}

static yaml_node_t *
find_index (struct settings_source *source, yaml_node_t *node,
            unsigned long index, uint32_t *line)
{
  yaml_node_item_t *items = NULL;
  yaml_node_t *entry;

  if (node->type != YAML_SEQUENCE_NODE)
    return NULL;
  items = node->data.sequence.items.start;
  if (index >= (unsigned long)(node->data.sequence.items.top - items))
    return NULL;
  entry = yaml_document_get_node (&source->document, items[index]);
  if (entry != NULL)
    *line = (uint32_t)entry->start_mark.line + 1;
  return entry;
}
