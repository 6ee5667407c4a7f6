#pragma once

#include <LibCore/Identifiers.h>
#include <LibLimits/BudgetMessage.h>

namespace lycheeseam {

/// A message and its recipient, which may be the sending instance itself.
struct budget_envelope
{
  instance_id mTo;
  budget_message mMessage;

  bool operator==(budget_envelope const&) const = default;
};

}
