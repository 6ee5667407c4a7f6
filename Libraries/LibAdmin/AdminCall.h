#pragma once

#include <LibCore/Identifiers.h>

#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// What an operator's call does to its resource. The values stand for the HTTP
/// methods GET, PUT, DELETE and POST, in this order.
enum class admin_verb
{
  Read,
  Write,
  Delete,
  Run,
};

/// Whether applying a configuration file proposes the changes or only lists
/// them.
enum class apply_mode
{
  Propose,
  DryRun,
};

/// An operator's call of the admin API, after its key was checked.
struct admin_call
{
  std::string mOperator;
  admin_verb mVerb = admin_verb::Read;
  /// The two parts of the path after "/v1/", such as "pools" and "assistant";
  /// the name is empty when the call concerns the whole resource.
  std::string mResource;
  std::string mName;
  /// The row version that the change is based on (If-Match); nothing stands
  /// for the current one.
  std::optional<row_version> mBase;
  apply_mode mMode = apply_mode::Propose;
  std::string mBody;
};

}
