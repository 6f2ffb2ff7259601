#include "sardinespoke/errors.h"

int
main()
{
  return 0;
}
