import { readFile } from 'node:fs/promises';
import verror from 'verror';

/** Minimum length of a secret, in characters. */
const SECRET_LENGTH_MIN = 16;

/**
 * Reads a secret from a file or from an environment variable; the settings themselves never contain
 * secrets. The file is used if both are set.
 *
 * @param label - name of the secret in errors
 * @param file - path of the file, if one is set
 * @param variable - name of the environment variable, if one is set
 * @returns the secret
 * @throws VError named `SecretError` if neither is set or the secret is too short
 */
export async function readSecret(
  label: string,
  file: string | undefined,
  variable: string | undefined,
): Promise<string> {
  const fromFile = file === undefined ? undefined : (await readFile(file, 'utf8')).trim();
  const secret = fromFile ?? (variable === undefined ? undefined : process.env[variable]);
  if (secret === undefined) {
    throw new verror.VError(
      { name: 'SecretError' },
      '%s is missing: set its file or its environment variable',
      label,
    );
  }
  if (secret.length < SECRET_LENGTH_MIN) {
    throw new verror.VError(
      { name: 'SecretError' },
      '%s is too short: it needs at least %d characters',
      label,
      SECRET_LENGTH_MIN,
    );
  }
  return secret;
}
