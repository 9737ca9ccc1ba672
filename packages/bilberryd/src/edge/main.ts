#!/usr/bin/env node
/**
 * The command that runs an entry instance on the users' platform.
 *
 * @module
 */

/** Reloads the settings; the settings that the instance starts with are read after this program has begun. */
let reload = (): void => {}

// Without a handler SIGHUP ends the process, and it may arrive while the rest of the program is loaded.
process.on('SIGHUP', () => reload())

const { runCommand } = await import('./run_command.ts')
await runCommand(next => { reload = next })
