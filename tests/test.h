/* Main function and test table of the CUnit programs. */
#ifndef TEST_H
#define TEST_H

#include <CUnit/Basic.h>
#include <glib.h>

/* Defines main, which runs the tests of LIST as the suite TITLE and returns 1
   if an assertion failed. */
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

/* A test and its title. */
struct test_case
{
  const char *name;
  void (*run) (void);
};

#endif
