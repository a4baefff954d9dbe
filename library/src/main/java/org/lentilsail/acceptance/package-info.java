/** Acceptance of records: conditional writes whose outcome is determined after lost replies. */
package org.lentilsail.acceptance;
