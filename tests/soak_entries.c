/* Entries of targets that the soak writes, among them odd ones of another
   writer. */
#include "soak.h"

enum
{
  NESTED = 2100, /* deeper than parsers of JSON go */
  ODD_SHARE = 8  /* one of so many calls changes an odd entry */
};

/* What makes an entry odd; nested brackets follow the first.  Each of the
   entries names a port where nothing listens.  */
static const char *const odd_members[] = { "\"x\":",
                                           "\"slots\":12345678901234567890",
                                           "\"cold_left_ms\":1e400",
                                           "\"state\":\"\\u0000\"",
                                           "\"zone\":\"\\ud800\"",
                                           "\"zone\":\"\xff\xfe\"",
                                           "\"address\":\"127.0.0.1:70000\"" };

/* Writes the entry of target INDEX.  */
void
soak_put_entry (int index, const char *service, int port, const char *version,
                const char *state)
{
  static int sequence;
  char *name = g_strdup_printf ("i-%d", index);
  char *spec = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
      "\"version\":\"%s\",\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,"
      "\"sequence\":%d}",
      service, port, soak_domain_of (index), version, state, ++sequence);

  fx_store_put ("servers", name, spec);
  g_free (spec);
  g_free (name);
}

/* Writes the odd entry INDEX if IS_PRESENT, else removes it.  */
static void
set_odd_entry (size_t index, int is_present)
{
  char *name = g_strdup_printf ("odd-%zu", index);
  GString *spec = g_string_new ("{\"service\":\"desk\",");

  g_string_append (spec, odd_members[index]);
  for (int i = 0; index == 0 && i < 2 * NESTED; i++)
    g_string_append_c (spec, i < NESTED ? '[' : ']');
  g_string_append_c (spec, '}');
  fx_store_put ("servers", name, is_present ? spec->str : NULL);
  g_string_free (spec, TRUE);
  g_free (name);
}

/* Writes or removes a random odd entry, in one of ODD_SHARE calls.  */
void
soak_change_odd_entries (GRand *random)
{
  gint32 index = g_rand_int_range (random, 0, G_N_ELEMENTS (odd_members));
  gint32 kind = g_rand_int_range (random, 0, ODD_SHARE);
  int is_present = g_rand_boolean (random);

  if (kind == 0)
    set_odd_entry ((size_t)index, is_present);
}

/* Writes all odd entries.  */
void
soak_put_odd_entries (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_members); i++)
    set_odd_entry (i, 1);
}
