#!/usr/bin/env node
/**
 * The command that runs an entry instance on the users' platform.
 *
 * @module
 */
import { listenForSignals } from '../process_signals.ts'

// The rest of the program is loaded once signals are handled.
const signals = listenForSignals()

const { runCommand } = await import('./run_command.ts')
await runCommand(signals)
