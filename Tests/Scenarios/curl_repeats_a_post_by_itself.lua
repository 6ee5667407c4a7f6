-- Shows why the router sends non-idempotent requests on new connections:
-- libcurl resends a POST by itself if a reused connection closes before the
-- answer.
local service = start_service("service-1")
control(service, { close_after_posts = 2 })
local function book(id, connection)
  return send { url = service.url .. "/bookings", body = { id = id }, connection = connection }
end
expect_equal(book("first", "reused").status, 200, "status of the first booking")
expect_equal(book("second", "reused").status, 200, "status of the second booking")
expect_equal(runs(service, "second"), 2, "runs of the second booking")

expect_equal(book("third", nil).status, 200, "status on a new connection")
expect_equal(runs(service, "third"), 1, "runs on a new connection")
