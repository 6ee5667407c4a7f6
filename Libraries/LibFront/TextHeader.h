#pragma once

#include <pistache/http_header.h>

#include <ostream>
#include <string>

namespace lycheeseam {

/// A header field with any name, for an answer. Pistache itself writes only
/// header fields that have a type of their own.
class text_header : public Pistache::Http::Header::Header
{
public:
  text_header(std::string aName, std::string aValue)
    : mName(std::move(aName))
    , mValue(std::move(aValue))
  {
  }

  char const* name() const override { return mName.c_str(); }
  std::uint64_t hash() const override
  {
    return Pistache::Http::Header::detail::hash(mName.c_str());
  }
  void write(std::ostream& aStream) const override { aStream << mValue; }

private:
  std::string mName;
  std::string mValue;
};

}
