/**
 * Runs a stand-in of the platform as a process of its own.
 *
 * @module
 */
import { startPlatformStandin } from './platform_standin.ts'

const standin = await startPlatformStandin()
console.log(JSON.stringify({ ready: true, url: standin.url }))
process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => {})
process.once('disconnect', () => process.exit(0))
