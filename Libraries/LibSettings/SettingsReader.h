#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Endpoint.h>
#include <LibCore/FieldPresence.h>
#include <LibSettings/LogLevel.h>
#include <LibSettings/NumberRange.h>
#include <LibSettings/SettingsFault.h>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// Reads the fields of one JSON object and adds each fault to a list.
///
/// A target keeps its value when the field is missing or faulty, so that
/// defaults are given only by the member initialisers of a settings struct.
class settings_reader
{
public:
  /// Reads aObject, whose JSON path is aPath, and adds faults to aFaults. Both
  /// aObject and aFaults must outlive the reader.
  settings_reader(nlohmann::json const& aObject,
                  std::string aPath,
                  std::vector<settings_fault>& aFaults);

  /// Reads the object in a field; a missing field reads as an empty object.
  [[nodiscard]] settings_reader Section(std::string_view aField);

  /// Reads the objects of a list; a missing field reads as an empty list.
  [[nodiscard]] std::vector<settings_reader> Sections(std::string_view aField);

  /// Reads a required name: 1 to 64 letters, digits, '.', '_' or '-'.
  void ReadName(std::string_view aField, std::string& aTarget);

  /// Reads an unsigned integer.
  template<std::unsigned_integral Number>
  void ReadNumber(std::string_view aField, number_range aRange, Number& aTarget)
  {
    std::optional<std::uint64_t> const number = FindNumber(aField, aRange);
    if (number)
      aTarget = static_cast<Number>(*number);
  }

  /// Reads an unsigned integer of milliseconds.
  void ReadMilliseconds(std::string_view aField,
                        number_range aRange,
                        std::chrono::milliseconds& aTarget);

  /// Reads a time in multiples of aUnit, which may have a fraction: at least a
  /// millisecond and at most a minute.
  void ReadDuration(std::string_view aField,
                    std::chrono::milliseconds aUnit,
                    std::chrono::milliseconds& aTarget);

  /// Reads a number from 0 to aMost that may have a fraction.
  void ReadFraction(std::string_view aField, double aMost, double& aTarget);

  /// Reads true or false.
  void ReadFlag(std::string_view aField, bool& aTarget);

  /// Reads an IP address with a port; nullopt when missing or faulty.
  [[nodiscard]] std::optional<endpoint> ReadEndpoint(std::string_view aField,
                                                     field_presence aPresence);

  /// Reads a list of IP addresses with ports.
  void ReadEndpoints(std::string_view aField, std::vector<endpoint>& aTarget);

  /// Reads a required SHA-256 digest in hexadecimal digits.
  void ReadDigest(std::string_view aField, digest& aTarget);

  /// Reads a log level by its name.
  void ReadLogLevel(std::string_view aField, log_level& aTarget);

  /// Adds a fault for each field that no call above has read.
  void RefuseUnknownFields();

  /// Adds a fault for a field that is well formed but conflicts with another.
  void Refuse(std::string_view aField, std::string_view aAllowed);

private:
  [[nodiscard]] nlohmann::json const* Find(std::string_view aField,
                                           field_presence aPresence,
                                           std::string_view aAllowed);
  [[nodiscard]] nlohmann::json const* FindList(std::string_view aField);
  [[nodiscard]] std::optional<std::uint64_t> FindNumber(std::string_view aField,
                                                        number_range aRange);
  [[nodiscard]] std::optional<endpoint> ParseEndpoint(
    std::string const& aPath,
    nlohmann::json const& aValue);
  [[nodiscard]] std::string PathOf(std::string_view aField) const;
  void AddFault(std::string aPath,
                nlohmann::json const* aValue,
                std::string_view aAllowed);

  nlohmann::json const* mObject;
  std::string mPath;
  std::vector<settings_fault>* mFaults;
  std::set<std::string, std::less<>> mKnownFields;
};

}
