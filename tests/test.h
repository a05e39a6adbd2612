/* Helpers of the CUnit programs. */
#ifndef TEST_H
#define TEST_H

#include <CUnit/Basic.h>
#include <glib.h>

/* Runs the tests of LIST as one suite; returns the exit status. */
#define TEST_MAIN(title, list)                                                \
  int main (void)                                                             \
  {                                                                           \
    CU_pSuite suite;                                                          \
    unsigned failed;                                                          \
    CU_initialize_registry ();                                                \
    suite = CU_add_suite (title, NULL, NULL);                                 \
    for (size_t i = 0; i < G_N_ELEMENTS (list); i++)                          \
      CU_add_test (suite, list[i].name, list[i].run);                         \
    CU_basic_run_tests ();                                                    \
    failed = CU_get_number_of_failures ();                                    \
    CU_cleanup_registry ();                                                   \
    return failed > 0;                                                        \
  }

struct test_case
{
  const char *name;
  void (*run) (void);
};

#endif
