/* Settings of an instance, read from a YAML file. */
#include <arpa/inet.h>
#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <yaml.h>

#include "ibisloom/error.h"
#include "ibisloom/settings.h"

enum
{
  SECRET_MIN_BYTES = 16,
  SECRET_MAX_BYTES = 4096,
  PORT_MAX = 65535
};

/* Whether a key is required, or with which interface. */
enum requirement
{
  OPTIONAL,
  REQUIRED,
  REQUIRED_IF_OWN,
  REQUIRED_IF_PLATFORM
};

struct field;

struct parser
{
  yaml_document_t document;
  const char *path;
  GPtrArray *errors;
};

typedef void (*field_parser) (struct parser *parser, const struct field *field,
                              yaml_node_t *value, void *destination);

struct field
{
  const char *key;
  field_parser parse;
  size_t offset;
  enum requirement requirement;
  int64_t min;
  int64_t max;
  int64_t default_value;
};

static void parse_name (struct parser *parser, const struct field *field,
                        yaml_node_t *value, void *destination);
static void parse_path (struct parser *parser, const struct field *field,
                        yaml_node_t *value, void *destination);
static void parse_address (struct parser *parser, const struct field *field,
                           yaml_node_t *value, void *destination);
static void parse_address_list (struct parser *parser,
                                const struct field *field, yaml_node_t *value,
                                void *destination);
static void parse_integer (struct parser *parser, const struct field *field,
                           yaml_node_t *value, void *destination);
static void parse_real (struct parser *parser, const struct field *field,
                        yaml_node_t *value, void *destination);
static void parse_interface (struct parser *parser, const struct field *field,
                             yaml_node_t *value, void *destination);
static int is_required (const struct field *field,
                        const struct settings *settings);
static void parse_log_level (struct parser *parser, const struct field *field,
                             yaml_node_t *value, void *destination);
static void add_error (struct parser *parser, const yaml_node_t *node,
                       const char *format, ...) G_GNUC_PRINTF (3, 4);
static const char *scalar (const yaml_node_t *node);
static const struct field *find_field (const char *key);
static void parse_mapping (struct parser *parser, yaml_node_t *root,
                           struct settings *settings);
static void read_secrets (struct parser *parser, struct settings *settings);
static int is_valid_name (const char *text);

#define FIELD_OFFSET(member) offsetof (struct settings, member)

static const struct field fields[] = {
  { "instance", parse_name, FIELD_OFFSET (instance), REQUIRED, 0, 0, 0 },
  { "deployment", parse_name, FIELD_OFFSET (deployment), REQUIRED, 0, 0, 0 },
  { "failure_domain", parse_name, FIELD_OFFSET (failure_domain), REQUIRED, 0,
    0, 0 },
  { "region", parse_name, FIELD_OFFSET (region), REQUIRED, 0, 0, 0 },
  { "listen", parse_address, FIELD_OFFSET (listen), REQUIRED, 0, 0, 0 },
  { "peer_listen", parse_address, FIELD_OFFSET (peer_listen), REQUIRED_IF_OWN,
    0, 0, 0 },
  { "operator_listen", parse_address, FIELD_OFFSET (operator_listen), REQUIRED,
    0, 0, 0 },
  { "readiness_listen", parse_address, FIELD_OFFSET (readiness_listen),
    REQUIRED_IF_PLATFORM, 0, 0, 0 },
  { "interface", parse_interface, FIELD_OFFSET (interface), OPTIONAL, 0, 0,
    0 },
  { "platform", parse_address, FIELD_OFFSET (platform), REQUIRED, 0, 0, 0 },
  { "peers", parse_address_list, FIELD_OFFSET (peers), OPTIONAL, 0, 0, 0 },
  { "cluster_key_file", parse_path, FIELD_OFFSET (cluster_key_file),
    REQUIRED_IF_OWN, 0, 0, 0 },
  { "operator_token_file", parse_path, FIELD_OFFSET (operator_token_file),
    REQUIRED_IF_OWN, 0, 0, 0 },
  { "tls_certificate_file", parse_path, FIELD_OFFSET (tls_certificate_file),
    OPTIONAL, 0, 0, 0 },
  { "tls_key_file", parse_path, FIELD_OFFSET (tls_key_file), OPTIONAL, 0, 0,
    0 },
  { "workers", parse_integer, FIELD_OFFSET (workers), OPTIONAL, 1, 64, 2 },
  { "log_level", parse_log_level, FIELD_OFFSET (log_level), OPTIONAL, 0, 0,
    LOG_LEVEL_INFO },
  { "control_bytes_per_s", parse_integer, FIELD_OFFSET (control_bytes_per_s),
    OPTIONAL, 512, 1048576, 4096 },
  { "max_body_bytes", parse_integer, FIELD_OFFSET (max_body_bytes), OPTIONAL,
    1024, 67108864, 1048576 },
  { "header_timeout_s", parse_integer, FIELD_OFFSET (header_timeout_s),
    OPTIONAL, 1, 300, 10 },
  { "stop_timeout_ms", parse_integer, FIELD_OFFSET (stop_timeout_ms), OPTIONAL,
    1000, 600000, 30000 },
  { "ledger_interval_ms", parse_integer, FIELD_OFFSET (ledger_interval_ms),
    OPTIONAL, 0, 1000, 3 },
  { "ledger_retention_s", parse_integer, FIELD_OFFSET (ledger_retention_s),
    OPTIONAL, 60, 2592000, 86400 },
  { "cap_factor", parse_real, FIELD_OFFSET (cap_factor), OPTIONAL, 1, 100, 2 },
  { "cap_slack", parse_real, FIELD_OFFSET (cap_slack), OPTIONAL, 0, 1000, 3 },
  { "retry_ratio", parse_real, FIELD_OFFSET (retry_ratio), OPTIONAL, 0, 10,
    0 },
  { "retry_slack", parse_real, FIELD_OFFSET (retry_slack), OPTIONAL, 0,
    1000000, 0 },
  { "store_writes_per_s", parse_real, FIELD_OFFSET (store_writes_per_s),
    OPTIONAL, 1, 1000000, 400 },
  { "config_apply_ms", parse_integer, FIELD_OFFSET (config_apply_ms), OPTIONAL,
    500, 600000, 2000 },
  { "context_lists", parse_integer, FIELD_OFFSET (context_lists), OPTIONAL, 0,
    1, 0 },
  { "drain_ms", parse_integer, FIELD_OFFSET (drain_ms), OPTIONAL, 0, 600000,
    2000 },
  { "evacuate_ms", parse_integer, FIELD_OFFSET (evacuate_ms), OPTIONAL, 0,
    600000, 0 },
  { "client_stall_ms", parse_integer, FIELD_OFFSET (client_stall_ms), OPTIONAL,
    1000, 600000, 30000 },
  { "slow_start", parse_integer, FIELD_OFFSET (slow_start), OPTIONAL, 0, 1,
    0 },
  { "local_context_tokens", parse_integer, FIELD_OFFSET (local_context_tokens),
    OPTIONAL, 0, 1000000, 0 },
  { "grace_s", parse_real, FIELD_OFFSET (grace_s), OPTIONAL, 1, 3600, 30 },
  { "admission_queue", parse_integer, FIELD_OFFSET (admission_queue), OPTIONAL,
    0, 1, 0 },
  { "work_aware", parse_integer, FIELD_OFFSET (work_aware), OPTIONAL, 0, 1,
    0 },
  { "load_relays", parse_integer, FIELD_OFFSET (load_relays), OPTIONAL, 0, 1,
    0 },
};

/* Reads the settings in PATH.  Returns them, to be freed with settings_free,
   or NULL if there are errors.  Each error is appended to ERRORS as a newly
   allocated line "file:line: key: what was found; remedy".  */
struct settings *
settings_load (const char *path, GPtrArray *errors)
{
  struct parser parser = { .path = path, .errors = errors };
  struct settings *settings;
  yaml_parser_t yaml;
  yaml_node_t *root;
  FILE *file = fopen (path, "rb");

  if (file == NULL)
    {
      add_error (&parser, NULL, "file: %s; name a readable file",
                 strerror (errno));
      return NULL;
    }
  settings = g_new0 (struct settings, 1);
  settings->path = g_strdup (path);
  settings->peers = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));
  yaml_parser_initialize (&yaml);
  yaml_parser_set_input_file (&yaml, file);
  if (!yaml_parser_load (&yaml, &parser.document))
    g_ptr_array_add (
        errors, g_strdup_printf ("%s:%zu: syntax: %s; correct the YAML", path,
                                 yaml.problem_mark.line + 1, yaml.problem));
  else
    {
      root = yaml_document_get_root_node (&parser.document);
      if (root == NULL || root->type != YAML_MAPPING_NODE)
        add_error (&parser, root, "file: not a mapping; write 'key: value'");
      else
        parse_mapping (&parser, root, settings);
      yaml_document_delete (&parser.document);
    }
  yaml_parser_delete (&yaml);
  fclose (file);
  if (errors->len == 0)
    read_secrets (&parser, settings);
  if (errors->len == 0)
    return settings;
  settings_free (settings);
  return NULL;
}

/* Frees SETTINGS, which may be NULL.  */
void
settings_free (struct settings *settings)
{
  if (settings == NULL)
    return;
  g_free (settings->path);
  g_free (settings->instance);
  g_free (settings->deployment);
  g_free (settings->failure_domain);
  g_free (settings->region);
  g_free (settings->cluster_key_file);
  g_free (settings->operator_token_file);
  g_free (settings->tls_certificate_file);
  g_free (settings->tls_key_file);
  g_free (settings->cluster_key);
  g_free (settings->operator_token);
  g_array_free (settings->peers, TRUE);
  g_free (settings);
}

/* Parses "A.B.C.D:PORT" into ADDRESS.  Returns 0, or -1 if malformed.  */
int
settings_parse_address (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  char host[INET_ADDRSTRLEN];
  char *end;
  long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return -1;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  port = strtol (colon + 1, &end, 10);
  if (end == colon + 1 || *end != '\0' || port < 1 || port > PORT_MAX)
    return -1;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1 ? 0 : -1;
}

/* Returns ADDRESS as "A.B.C.D:PORT", newly allocated.  */
char *
settings_format_address (const struct sockaddr_in *address)
{
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &address->sin_addr, host, sizeof host);
  return g_strdup_printf ("%s:%u", host, ntohs (address->sin_port));
}

/* Reads the secret in PATH, without trailing white space.  Returns it, newly
   allocated, or NULL with ERROR set if the file cannot be read or its length
   is not allowed.  */
char *
settings_read_secret (const char *path, GError **error)
{
  char *text = NULL;
  gsize length;

  if (!g_file_get_contents (path, &text, &length, NULL))
    {
      err_set (error, ERR_SETTINGS, "cannot read %s", path);
      return NULL;
    }
  g_strchomp (text);
  length = strlen (text);
  if (length >= SECRET_MIN_BYTES && length <= SECRET_MAX_BYTES)
    return text;
  err_set (error, ERR_SETTINGS, "%s must hold %d to %d characters", path,
           SECRET_MIN_BYTES, SECRET_MAX_BYTES);
  g_free (text);
  return NULL;
}

/* Parses the mapping ROOT into SETTINGS.  Unknown, repeated and missing keys
   are errors; optional keys that are absent have their default value.  */
static void
parse_mapping (struct parser *parser, yaml_node_t *root,
               struct settings *settings)
{
  int given[G_N_ELEMENTS (fields)] = { 0 };
  yaml_node_pair_t *pair;

  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (fields[i].parse == parse_integer || fields[i].parse == parse_log_level)
      *(int64_t *)((char *)settings + fields[i].offset)
          = fields[i].default_value;
    else if (fields[i].parse == parse_real)
      *(double *)((char *)settings + fields[i].offset)
          = (double)fields[i].default_value;
  for (pair = root->data.mapping.pairs.start;
       pair < root->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *key = yaml_document_get_node (&parser->document, pair->key);
      yaml_node_t *value
          = yaml_document_get_node (&parser->document, pair->value);
      const struct field *field = find_field (scalar (key));

      if (field == NULL)
        add_error (parser, key,
                   "%s: unknown key; remove it or correct its name",
                   scalar (key));
      else if (given[field - fields]++)
        add_error (parser, key, "%s: given twice; keep one", field->key);
      else
        field->parse (parser, field, value, (char *)settings + field->offset);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (is_required (&fields[i], settings) && !given[i])
      add_error (parser, root, "%s: missing; add it", fields[i].key);
}

/* Reads the key and token files that SETTINGS names, and checks that TLS has
   both its files.  */
static void
read_secrets (struct parser *parser, struct settings *settings)
{
  GError *error = NULL;

  if (settings->interface != SETTINGS_INTERFACE_OWN)
    return;
  settings->cluster_key
      = settings_read_secret (settings->cluster_key_file, &error);
  if (error == NULL)
    settings->operator_token
        = settings_read_secret (settings->operator_token_file, &error);
  if (error != NULL)
    {
      add_error (parser, NULL, "%s", error->message);
      g_clear_error (&error);
    }
  if ((settings->tls_certificate_file == NULL)
      != (settings->tls_key_file == NULL))
    add_error (parser, NULL,
               "tls_key_file: TLS needs a certificate and a key; set both");
}

/* Returns whether FIELD is required with the interface of SETTINGS.  */
static int
is_required (const struct field *field, const struct settings *settings)
{
  if (field->requirement == REQUIRED_IF_OWN)
    return settings->interface == SETTINGS_INTERFACE_OWN;
  if (field->requirement == REQUIRED_IF_PLATFORM)
    return settings->interface == SETTINGS_INTERFACE_PLATFORM;
  return field->requirement == REQUIRED;
}

/* Returns the field called KEY, or NULL.  */
static const struct field *
find_field (const char *key)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (strcmp (fields[i].key, key) == 0)
      return &fields[i];
  return NULL;
}

/* Returns the text of NODE if it is a scalar, otherwise "".  */
static const char *
scalar (const yaml_node_t *node)
{
  if (node == NULL || node->type != YAML_SCALAR_NODE)
    return "";
  return (const char *)node->data.scalar.value;
}

/* Reports an error at NODE, or in the file as a whole if NODE is NULL.  */
static void
add_error (struct parser *parser, const yaml_node_t *node, const char *format,
           ...)
{
  va_list args;
  char *message;

  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (parser->errors,
                   g_strdup_printf ("%s:%zu: %s", parser->path,
                                    node ? node->start_mark.line + 1 : 1,
                                    message));
  g_free (message);
}

/* Returns whether TEXT is a valid name: 1 to 63 letters, digits, '-', '_' and
   '.'.  */
static int
is_valid_name (const char *text)
{
  size_t length = strlen (text);

  return length >= 1 && length <= 63
         && strspn (text,
                    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                    "0123456789-_.")
                == length;
}

/* Parses a name into the char * at DESTINATION.  */
static void
parse_name (struct parser *parser, const struct field *field,
            yaml_node_t *value, void *destination)
{
  const char *text = scalar (value);

  if (is_valid_name (text))
    *(char **)destination = g_strdup (text);
  else
    add_error (parser, value,
               "%s: found '%s'; use 1 to 63 letters, digits, '-', '_' or '.'",
               field->key, text);
}

/* Parses a file name into the char * at DESTINATION.  */
static void
parse_path (struct parser *parser, const struct field *field,
            yaml_node_t *value, void *destination)
{
  const char *text = scalar (value);

  if (*text != '\0')
    *(char **)destination = g_strdup (text);
  else
    add_error (parser, value, "%s: found nothing; name a file", field->key);
}

/* Parses "A.B.C.D:PORT" into the struct sockaddr_in at DESTINATION.  */
static void
parse_address (struct parser *parser, const struct field *field,
               yaml_node_t *value, void *destination)
{
  if (settings_parse_address (scalar (value), destination) != 0)
    add_error (parser, value, "%s: found '%s'; write IP:PORT, port 1 to 65535",
               field->key, scalar (value));
}

/* Parses a sequence of addresses into the GArray at DESTINATION.  */
static void
parse_address_list (struct parser *parser, const struct field *field,
                    yaml_node_t *value, void *destination)
{
  struct sockaddr_in address;
  yaml_node_item_t *item;

  if (value->type != YAML_SEQUENCE_NODE)
    {
      add_error (parser, value, "%s: not a list; write '- IP:PORT' lines",
                 field->key);
      return;
    }
  for (item = value->data.sequence.items.start;
       item < value->data.sequence.items.top; item++)
    {
      yaml_node_t *node = yaml_document_get_node (&parser->document, *item);

      memset (&address, 0, sizeof address);
      parse_address (parser, field, node, &address);
      g_array_append_val (*(GArray **)destination, address);
    }
}

/* Parses a decimal integer within the field's range into the int64_t at
   DESTINATION.  A unit such as in "5s" is an error, as the unit is in the
   key.  */
static void
parse_integer (struct parser *parser, const struct field *field,
               yaml_node_t *value, void *destination)
{
  const char *text = scalar (value);
  char *end;
  gint64 number;

  errno = 0;
  number = g_ascii_strtoll (text, &end, 10);
  if (end == text || *end != '\0' || errno != 0)
    add_error (parser, value,
               "%s: found '%s'; write a whole number, its unit is in the key",
               field->key, text);
  else if (number < field->min || number > field->max)
    add_error (parser, value,
               "%s: found %" G_GINT64_FORMAT "; allowed are %" G_GINT64_FORMAT
               " to %" G_GINT64_FORMAT,
               field->key, number, (gint64)field->min, (gint64)field->max);
  else
    *(int64_t *)destination = number;
}

/* Parses a log level into the int64_t at DESTINATION.  */
static void
parse_log_level (struct parser *parser, const struct field *field,
                 yaml_node_t *value, void *destination)
{
  enum log_level level;

  if (log_level_parse (scalar (value), &level) == 0)
    *(int64_t *)destination = level;
  else
    add_error (parser, value, "%s: found '%s'; use error, warn, info or debug",
               field->key, scalar (value));
}

/* Parses a decimal number within the field's range into the double at
   DESTINATION.  */
static void
parse_real (struct parser *parser, const struct field *field,
            yaml_node_t *value, void *destination)
{
  const char *text = scalar (value);
  char *end;
  double number = g_ascii_strtod (text, &end);

  if (end == text || *end != '\0')
    add_error (parser, value, "%s: found '%s'; write a number", field->key,
               text);
  else if (!(number >= (double)field->min && number <= (double)field->max))
    add_error (parser, value,
               "%s: found %g; allowed are %" G_GINT64_FORMAT
               " to %" G_GINT64_FORMAT,
               field->key, number, (gint64)field->min, (gint64)field->max);
  else
    *(double *)destination = number;
}

/* Parses an interface into the int64_t at DESTINATION.  */
static void
parse_interface (struct parser *parser, const struct field *field,
                 yaml_node_t *value, void *destination)
{
  if (strcmp (scalar (value), "own") == 0)
    *(int64_t *)destination = SETTINGS_INTERFACE_OWN;
  else if (strcmp (scalar (value), "platform") == 0)
    *(int64_t *)destination = SETTINGS_INTERFACE_PLATFORM;
  else
    add_error (parser, value, "%s: found '%s'; use own or platform",
               field->key, scalar (value));
}
