-- Riga at its size: everyone is served through each of 7 routers, and
-- through those that are left after one of each kind has been killed.
local running = start_deployment(RIGA)
expect_all_served(RIGA, running, "first")
lose_one_of_each(RIGA, running)
expect_all_served(RIGA, running, "second")
