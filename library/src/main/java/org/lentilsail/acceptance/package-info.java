/** Acceptance of records: conditional writes whose outcome survives lost replies. */
package org.lentilsail.acceptance;
