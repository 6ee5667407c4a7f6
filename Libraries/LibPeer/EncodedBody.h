#pragma once

#include <PeerMessage_generated.h>

namespace lycheeseam {

/// A body's table with the union's name of its type.
struct encoded_body
{
  wire::Body mType = wire::Body::NONE;
  flatbuffers::Offset<void> mTable;
};

/// Names a finished table as a body of that type.
template<typename Table>
encoded_body
MakeBody(wire::Body aType, flatbuffers::Offset<Table> aTable)
{
  return { .mType = aType, .mTable = aTable.Union() };
}

}
