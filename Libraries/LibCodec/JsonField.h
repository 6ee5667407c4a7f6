#pragma once

#include <LibCodec/JsonSerializer.h>
#include <LibCore/FieldPresence.h>

#include <string_view>

namespace lycheeseam {

/// Joins a struct's member to a field of its JSON object. Form is what the
/// field's value is read and written by.
template<typename Struct, typename Member, typename Form = json_form<Member>>
struct json_field
{
  using form = Form;

  std::string_view mName;
  Member Struct::*mMember;
  field_presence mPresence = field_presence::Required;
};

/// A field that must be there.
template<typename Struct, typename Member>
constexpr json_field<Struct, Member>
RequiredField(std::string_view aName, Member Struct::*aMember)
{
  return { .mName = aName, .mMember = aMember };
}

/// A field that may be left out.
template<typename Struct, typename Member>
constexpr json_field<Struct, Member>
OptionalField(std::string_view aName, Member Struct::*aMember)
{
  return { .mName = aName,
           .mMember = aMember,
           .mPresence = field_presence::Optional };
}

}
