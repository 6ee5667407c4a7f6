-- The Riga deployment at its real size: all workspaces are served through each
-- of 7 routers, and through the remaining ones after one engine, one service
-- and one router have been killed.
local running = start_deployment(RIGA)
expect_all_served(RIGA, running, "first")
kill_one_of_each(RIGA, running)
expect_all_served(RIGA, running, "second")
