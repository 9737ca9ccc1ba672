/**
 * Reads certificates and keys that the settings hold as PEM text or as the path of a PEM file.
 *
 * @module
 */
import { readFileSync } from 'node:fs'

const pemStart = '-----BEGIN'

/**
 * Returns PEM text, read from a file if the argument is a path.
 *
 * @param textOrPath PEM text, or the path of a PEM file
 * @returns The PEM text
 * @throws {Error} If the file can't be read
 */
export function readPem (textOrPath: string): string {
  return textOrPath.trimStart().startsWith(pemStart) ? textOrPath : readFileSync(textOrPath, 'utf8')
}
