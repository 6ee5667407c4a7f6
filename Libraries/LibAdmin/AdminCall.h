#pragma once

#include <LibCore/Identifiers.h>

#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// What an operator's call does.
enum class admin_verb
{
  Read,
  Write,
  Delete,
  Run,
};

/// Whether an application of a file is only shown or also proposed.
enum class apply_mode
{
  Propose,
  DryRun,
};

/// An operator's call after its key was checked.
struct admin_call
{
  std::string mOperator;
  admin_verb mVerb = admin_verb::Read;
  /// The parts of the path behind "/v1/", such as "pools" and "assistant".
  std::string mSubject;
  std::string mName;
  /// The version that the operator saw; nothing takes the one in force.
  std::optional<row_version> mBase;
  apply_mode mMode = apply_mode::Propose;
  std::string mBody;
};

}
