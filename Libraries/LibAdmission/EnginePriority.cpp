#include <LibAdmission/EnginePriority.h>
#include <LibCore/Verify.h>

namespace lycheeseam {

priority_class
EnginePriority(priority_class aRoute, budget_state aBudget)
{
  if (aBudget == budget_state::Within)
    return aRoute;
  switch (aRoute) {
    case priority_class::Interactive:
      return priority_class::Normal;
    case priority_class::Normal:
    case priority_class::Batch:
      return priority_class::Batch;
  }
  VERIFY(false);
  return aRoute;
}

}
