#include <LibCore/InvalidInput.h>
#include <LibSettings/SettingsReader.h>
#include <LibSettings/SettingsText.h>

#include <nlohmann/json.hpp>

#include <cmath>
#include <utility>

namespace lycheeseam {

using nlohmann::json;

namespace {

constexpr std::string_view kEndpointAllowed =
  "an IP number with a port, such as \"10.0.0.1:8080\" or \"[::1]:8080\"";

json const&
EmptyObject()
{
  static json const kEmpty = json::object();
  return kEmpty;
}

}

settings_reader::settings_reader(json const& aObject,
                                 std::string aPath,
                                 std::vector<settings_fault>& aFaults)
  : mObject(&aObject)
  , mPath(std::move(aPath))
  , mFaults(&aFaults)
{
  if (aObject.is_object())
    return;
  AddFault(mPath, &aObject, "an object");
  mObject = &EmptyObject();
}

settings_reader
settings_reader::Section(std::string_view aField)
{
  json const* const value = Find(aField, field_presence::Optional, "");
  return { value ? *value : EmptyObject(), PathOf(aField), *mFaults };
}

std::vector<settings_reader>
settings_reader::Sections(std::string_view aField)
{
  std::vector<settings_reader> sections;
  json const* const list = FindList(aField);
  if (!list)
    return sections;
  for (std::size_t i = 0; i < list->size(); ++i) {
    std::string const path = PathOf(aField) + "[" + std::to_string(i) + "]";
    sections.emplace_back((*list)[i], path, *mFaults);
  }
  return sections;
}

void
settings_reader::ReadName(std::string_view aField, std::string& aTarget)
{
  constexpr std::string_view kAllowed =
    "1 to 64 letters, digits, '.', '_' or '-'";
  json const* const value = Find(aField, field_presence::Required, kAllowed);
  if (!value)
    return;
  if (!value->is_string() || !IsName(value->get_ref<std::string const&>()))
    return AddFault(PathOf(aField), value, kAllowed);
  aTarget = value->get<std::string>();
}

void
settings_reader::ReadMilliseconds(std::string_view aField,
                                  number_range aRange,
                                  std::chrono::milliseconds& aTarget)
{
  std::optional<std::uint64_t> const number = FindNumber(aField, aRange);
  if (number)
    aTarget = std::chrono::milliseconds{ *number };
}

void
settings_reader::ReadDuration(std::string_view aField,
                              std::chrono::milliseconds aUnit,
                              std::chrono::milliseconds& aTarget)
{
  constexpr std::chrono::milliseconds kLeast{ 1 };
  constexpr std::chrono::milliseconds kMost{ 60'000 };
  double const unit = static_cast<double>(aUnit.count());
  double const least = static_cast<double>(kLeast.count()) / unit;
  double const most = static_cast<double>(kMost.count()) / unit;
  std::string const allowed =
    "a number from " + json(least).dump() + " to " + json(most).dump();
  json const* const value = Find(aField, field_presence::Optional, allowed);
  if (value == nullptr)
    return;
  if (!value->is_number() || value->get<double>() < least ||
      value->get<double>() > most)
    return AddFault(PathOf(aField), value, allowed);
  aTarget =
    std::chrono::milliseconds{ std::llround(value->get<double>() * unit) };
}

void
settings_reader::ReadFraction(std::string_view aField,
                              double aMost,
                              double& aTarget)
{
  std::string const allowed = "a number from 0 to " + json(aMost).dump();
  json const* const value = Find(aField, field_presence::Optional, allowed);
  if (value == nullptr)
    return;
  if (!value->is_number() || value->get<double>() < 0 ||
      value->get<double>() > aMost)
    return AddFault(PathOf(aField), value, allowed);
  aTarget = value->get<double>();
}

void
settings_reader::ReadFlag(std::string_view aField, bool& aTarget)
{
  json const* const value = Find(aField, field_presence::Optional, "");
  if (!value)
    return;
  if (!value->is_boolean())
    return AddFault(PathOf(aField), value, "true or false");
  aTarget = value->get<bool>();
}

std::optional<endpoint>
settings_reader::ReadEndpoint(std::string_view aField, field_presence aPresence)
{
  json const* const value = Find(aField, aPresence, kEndpointAllowed);
  if (!value)
    return std::nullopt;
  return ParseEndpoint(PathOf(aField), *value);
}

void
settings_reader::ReadEndpoints(std::string_view aField,
                               std::vector<endpoint>& aTarget)
{
  json const* const list = FindList(aField);
  if (!list)
    return;
  aTarget.clear();
  for (std::size_t i = 0; i < list->size(); ++i) {
    std::string const path = PathOf(aField) + "[" + std::to_string(i) + "]";
    std::optional<endpoint> parsed = ParseEndpoint(path, (*list)[i]);
    if (parsed)
      aTarget.push_back(std::move(*parsed));
  }
}

void
settings_reader::ReadDigest(std::string_view aField, digest& aTarget)
{
  constexpr std::string_view kAllowed =
    "a SHA-256 digest as 64 lower-case hexadecimal digits";
  json const* const value = Find(aField, field_presence::Required, kAllowed);
  if (!value)
    return;
  // The value may be the key itself by mistake, which must not reach a log.
  json const hidden = "(not shown)";
  if (!value->is_string())
    return AddFault(PathOf(aField), &hidden, kAllowed);
  try {
    aTarget = digest::FromHex(value->get_ref<std::string const&>());
  } catch (invalid_input const&) {
    AddFault(PathOf(aField), &hidden, kAllowed);
  }
}

void
settings_reader::ReadLogLevel(std::string_view aField, log_level& aTarget)
{
  json const* const value = Find(aField, field_presence::Optional, "");
  if (!value)
    return;
  if (*value == "debug")
    aTarget = log_level::Debug;
  else if (*value == "info")
    aTarget = log_level::Info;
  else if (*value == "warn")
    aTarget = log_level::Warn;
  else if (*value == "error")
    aTarget = log_level::Error;
  else
    AddFault(PathOf(aField), value, "debug, info, warn or error");
}

void
settings_reader::RefuseUnknownFields()
{
  for (auto const& [field, value] : mObject->items()) {
    if (mKnownFields.contains(field))
      continue;
    // Only the type is shown, since the value may be a key set here by mistake.
    json const shown = std::string{ "a " } + value.type_name();
    AddFault(PathOf(field), &shown, "no field of this name");
  }
}

void
settings_reader::Refuse(std::string_view aField, std::string_view aAllowed)
{
  auto const found = mObject->find(aField);
  json const* const value = found == mObject->end() ? nullptr : &*found;
  AddFault(PathOf(aField), value, aAllowed);
}

json const*
settings_reader::Find(std::string_view aField,
                      field_presence aPresence,
                      std::string_view aAllowed)
{
  mKnownFields.emplace(aField);
  auto const found = mObject->find(aField);
  if (found != mObject->end())
    return &*found;
  if (aPresence == field_presence::Required)
    AddFault(PathOf(aField), nullptr, aAllowed);
  return nullptr;
}

json const*
settings_reader::FindList(std::string_view aField)
{
  json const* const value = Find(aField, field_presence::Optional, "");
  if (!value || value->is_array())
    return value;
  AddFault(PathOf(aField), value, "a list");
  return nullptr;
}

std::optional<std::uint64_t>
settings_reader::FindNumber(std::string_view aField, number_range aRange)
{
  json const* const value = Find(aField, field_presence::Optional, "");
  if (!value)
    return std::nullopt;
  if (value->is_number_unsigned()) {
    std::uint64_t const number = value->get<std::uint64_t>();
    if (number >= aRange.mLeast && number <= aRange.mMost)
      return number;
  }
  AddFault(PathOf(aField), value, RangeText(aRange));
  return std::nullopt;
}

std::optional<endpoint>
settings_reader::ParseEndpoint(std::string const& aPath, json const& aValue)
{
  if (aValue.is_string()) {
    try {
      return endpoint::Parse(aValue.get_ref<std::string const&>());
    } catch (invalid_input const&) {
      // Reported below, together with values that aren't strings.
    }
  }
  AddFault(aPath, &aValue, kEndpointAllowed);
  return std::nullopt;
}

std::string
settings_reader::PathOf(std::string_view aField) const
{
  return mPath + "." + std::string{ aField };
}

void
settings_reader::AddFault(std::string aPath,
                          json const* aValue,
                          std::string_view aAllowed)
{
  mFaults->push_back({ .mPath = std::move(aPath),
                       .mValue = ShownValue(aValue),
                       .mAllowed = std::string{ aAllowed } });
}

}
