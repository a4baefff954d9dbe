/** The entry daemon: a thin program around the library. */
package org.lentilsail.daemon;
