-- Guards against a router that can't start because two of its addresses have the
-- same port. There are enough calls for a random port to come up again.
local known = {}
for _ = 1, 2000 do
  local port = free_port()
  expect(not known[port], "port " .. port .. " is returned once only")
  known[port] = true
end
