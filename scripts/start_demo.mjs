/**
 * Prepares the clone and runs the demonstration in this process, so that the demonstration receives signals.
 *
 * @module
 */
import './prepare_tree.mjs'

await import('../packages/standins/dist/main_demo.js')
