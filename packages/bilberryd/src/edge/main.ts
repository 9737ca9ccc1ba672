#!/usr/bin/env node
/**
 * The command that runs an entry instance on the users' platform.
 *
 * @module
 */
import { listenForErrors } from '../process_errors.ts'
import { listenForSignals } from '../process_signals.ts'

// The rest of the program is loaded once signals and errors are handled.
const signals = listenForSignals()
const errors = listenForErrors()

const { runCommand } = await import('./run_command.ts')
await runCommand({ signals, errors }).catch(errors.endProcess)
